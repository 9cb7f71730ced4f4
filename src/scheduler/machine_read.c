#include "machine_read.h"

#include <stdlib.h>

#define PAGE_TIMEOUT_MS 1000
#define PAGE_MAX_BYTES (2 * 1024 * 1024)

struct machine_read {
	struct scheduler *scheduler;
	struct http_call *call;
	struct machine_list list; /* pages so far */
	machine_read_fn *on_end;
	void *arg;
};

static int read_page(struct machine_read *r);

static void
read_free(struct machine_read *r)
{
	machine_list_uninit(&r->list);
	free(r);
}

static void
page_ended(void *arg, enum http_end end, struct answer *a)
{
	struct machine_read *r = arg;
	bool ok = end == HTTP_WHOLE && a->status == 200 && a->body != NULL &&
	    machine_list_add(&r->list, a->body->data, a->body->len) == 0;

	r->call = NULL;
	if (ok && r->list.next[0] != '\0') {
		if (read_page(r) == 0)
			return;
		ok = false;
	}
	if (!ok)
		daemon_log(LOG_LEVEL_WARN, "machines",
		    "msg=\"list of machines cannot be read\" end=%d status=%d "
		    "read=%zu",
		    end, end == HTTP_WHOLE ? a->status : 0, r->list.count);
	r->on_end(r->arg, ok ? &r->list : NULL);
	read_free(r);
}

static int
read_page(struct machine_read *r)
{
	const struct boot *b = &r->scheduler->boot;
	char path[MACHINE_PATH_BYTES];
	struct http_call_opts o = {
	    .context = r->scheduler->context,
	    .pool = r->scheduler->http_connections,
	    .repeatable = true,
	    .addr = b->machines.addr,
	    .port = b->machines.port,
	    .method = "GET",
	    .path = path,
	    .timeout_ms = PAGE_TIMEOUT_MS,
	    .max_bytes = PAGE_MAX_BYTES,
	    .on_end = page_ended,
	    .arg = r,
	};

	machine_list_path(path, r->list.next);
	r->call = http_call_start(&o, NULL);
	return r->call != NULL ? 0 : -1;
}

struct machine_read *
machine_read_start(struct scheduler *s, machine_read_fn *on_end, void *arg)
{
	struct machine_read *r;

	if (s->boot.machines.addr[0] == '\0')
		return NULL;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->scheduler = s;
	r->on_end = on_end;
	r->arg = arg;
	if (read_page(r) == 0)
		return r;
	read_free(r);
	return NULL;
}

void
machine_read_cancel(struct machine_read *r)
{
	if (r == NULL)
		return;
	if (r->call != NULL)
		http_call_cancel(r->call);
	read_free(r);
}
