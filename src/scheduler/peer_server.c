#include "peer_server.h"

#include <stdlib.h>
#include <string.h>

#include "config_call.h"
#include "config_relay.h"
#include "peer_client.h"
#include "shards.h"

#define PEER_BODY_MAX_BYTES (512 * 1024) /* a job and its queue's settings */

struct peer_server {
	struct scheduler *scheduler;
	struct http_listener *listener;
};

/* A job request that waits for the reply of its pool. */
struct peer_request {
	struct peer_server *server;
	uint64_t id;
};

static void
answer(struct peer_server *p, uint64_t id, int status, struct buf *body)
{
	struct http_reply r = {.status = status, .lines = "", .body = body};

	http_listener_answer(p->listener, id, &r);
	buf_unref(body);
}

static void
on_reply(void *arg, const struct job_reply *reply)
{
	struct peer_request *q = arg;
	struct job_reply r = *reply;

	r.config_version = config_relay_shown_version(q->server->scheduler);
	answer(q->server, q->id, 200, job_reply_encode(&r));
	free(q);
}

static void
handle_job(struct peer_server *p, uint64_t id, const struct request *r)
{
	struct job_request job;
	struct peer_request *q;
	struct err e;

	if (r->body == NULL ||
	    job_request_decode(&job, r->body->data, r->body->len, &e) == -1) {
		daemon_log(LOG_LEVEL_WARN, "peers",
		    "msg=\"cannot decode a peer's job request: answered 400\" "
		    "bytes=%zu",
		    r->body != NULL ? r->body->len : 0);
		answer(p, id, 400, NULL);
		return;
	}
	q = calloc(1, sizeof(*q));
	if (q == NULL) {
		answer(p, id, 503, NULL);
	} else {
		q->server = p;
		q->id = id;
		shards_handle_request(p->scheduler->shards, &job, on_reply, q);
	}
	buf_unref(job.body);
}

static void
handle_cordons(struct peer_server *p, uint64_t id, const struct request *r)
{
	struct cordon_request q;
	struct pool_report report;
	struct err e;

	if (r->body == NULL ||
	    cordon_request_decode(&q, r->body->data, r->body->len, &e) == -1) {
		daemon_log(LOG_LEVEL_WARN, "peers",
		    "msg=\"cannot decode a peer's cordon request: answered "
		    "400\"");
		answer(p, id, 400, NULL);
		return;
	}
	if (shards_apply_cordons(p->scheduler->shards, &q, &report) == -1) {
		cordon_request_uninit(&q);
		answer(p, id, 503, NULL); /* not the pool's owner */
		return;
	}
	cordon_request_uninit(&q);
	answer(p, id, 200, pool_report_encode(&report));
	pool_report_uninit(&report);
}

static void
handle_config(struct peer_server *p, uint64_t id, const struct request *r)
{
	struct buf *out = config_relay_answer(p->scheduler->relay, r->body);

	if (out == NULL)
		daemon_log(LOG_LEVEL_WARN, "peers",
		    "msg=\"cannot answer a peer's configuration request: "
		    "answered 400\" bytes=%zu",
		    r->body != NULL ? r->body->len : 0);
	answer(p, id, out != NULL ? 200 : 400, out);
}

/* A daemon that has no configuration learns of others from their calls. */
static void
note_peer(struct peer_server *p, uint64_t id)
{
	char addr[ADDR_BYTES];

	if (http_listener_remote_addr(p->listener, id, addr, sizeof(addr)))
		config_relay_heard_from(p->scheduler->relay, addr);
}

static void
on_request(void *arg, uint64_t id, struct request *r)
{
	struct peer_server *p = arg;
	struct buf *out;

	if (strcmp(r->method, "POST") == 0)
		note_peer(p, id);
	if (strcmp(r->path, PEER_PATH_CONFIG) == 0) {
		handle_config(p, id, r);
		return;
	}
	if (strcmp(r->path, PEER_PATH_JOBS) == 0) {
		handle_job(p, id, r);
		return;
	}
	if (strcmp(r->path, PEER_PATH_CORDONS) == 0) {
		handle_cordons(p, id, r);
		return;
	}
	out = buf_new(4096);
	if (out != NULL && strcmp(r->path, "/metrics") == 0)
		scheduler_metrics(p->scheduler, out);
	else if (out != NULL && strcmp(r->path, "/dump") == 0)
		shards_dump(p->scheduler->shards, out);
	else {
		buf_unref(out);
		answer(p, id, 404, NULL);
		return;
	}
	answer(p, id, 200, out);
}

static void
on_gone(void *arg, uint64_t id)
{
	(void)arg; /* the listener drops the reply */
	(void)id;
}

struct peer_server *
peer_server_new(struct scheduler *s, struct err *e)
{
	struct http_listener_opts o = {
	    .context = s->context,
	    .name = "peers",
	    .addr = s->settings.ip,
	    .port = s->settings.peer_port,
	    .body_max_bytes = PEER_BODY_MAX_BYTES,
	    .on_request = on_request,
	    .on_gone = on_gone,
	    .refusal_lines = "",
	};
	struct peer_server *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL) {
		err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "out of memory for the server of peers' requests");
		return NULL;
	}
	p->scheduler = s;
	o.arg = p;
	p->listener = http_listener_new(&o, e);
	if (p->listener == NULL) {
		free(p);
		return NULL;
	}
	return p;
}

void
peer_server_free(struct peer_server *p)
{
	if (p == NULL)
		return;
	http_listener_free(p->listener);
	free(p);
}
