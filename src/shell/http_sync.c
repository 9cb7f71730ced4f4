#include <string.h>

#include "bounds.h"
#include "http_client.h"

/* libwebsockets' buffer for request headers */
#define HEADER_BUFFER_BYTES 32768
#define CALL_TIMEOUT_MAX_S 600 /* longer than the timeout of any call */

struct sync_call {
	struct lws_context *context;
	bool done;
	enum http_outcome outcome;
	struct answer *answer;
};

static void
sync_on_done(void *arg, enum http_outcome outcome, struct answer *answer)
{
	struct sync_call *s = arg;

	s->done = true;
	s->outcome = outcome;
	s->answer = answer_ref(answer);
	/* Without this the loop would sleep: timers run before it polls. */
	lws_cancel_service(s->context);
}

static int
sync_error(
    const struct http_call_opts *opts, enum http_outcome outcome, struct err *e)
{
	switch (outcome) {
	case HTTP_ANSWERED:
		return 0;
	case HTTP_UNSENT:
		return err_set(e, ERR_IO, 0,
		    "check the address and that the process there runs",
		    "no connection to %s port %d", opts->addr, opts->port);
	case HTTP_NO_ANSWER:
		return err_set(e, ERR_IO, 0,
		    "check the other process's log, then try again",
		    "%s port %d closed the connection without an answer",
		    opts->addr, opts->port);
	case HTTP_TRUNCATED:
		return err_set(e, ERR_PROTOCOL, 0,
		    "check the other process's log, then try again",
		    "answer from %s port %d is incomplete or too large",
		    opts->addr, opts->port);
	case HTTP_TIMED_OUT:
		return err_set(e, ERR_TIMEOUT, 0,
		    "try again, or with a longer time-out",
		    "no answer from %s port %d within %d ms", opts->addr,
		    opts->port, opts->timeout_ms);
	}
	return -1;
}

static struct lws_context *
sync_context(void)
{
	static const struct lws_protocols *const protocol =
	    &http_client_protocol;
	struct lws_protocols protocols[2];
	struct lws_context_creation_info info;

	memset(protocols, 0, sizeof(protocols));
	protocols[0] = *protocol;
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.protocols = protocols;
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	info.max_http_header_data = HEADERS_MAX_BYTES + 2048;
	info.pt_serv_buf_size = HEADER_BUFFER_BYTES;
	info.timeout_secs = CALL_TIMEOUT_MAX_S;
	info.connect_timeout_secs = CALL_TIMEOUT_MAX_S;
	return lws_create_context(&info);
}

int
http_sync(const struct http_call_opts *opts, struct answer **answer,
    enum http_outcome *outcome, struct err *e)
{
	struct http_call_opts o = *opts;
	struct sync_call s = {.outcome = HTTP_UNSENT};

	lws_set_log_level(LLL_ERR, NULL);
	o.context = sync_context();
	if (o.context == NULL)
		return err_set(e, ERR_MEMORY, 0,
		    "give the process more memory and descriptors",
		    "cannot create the libwebsockets context of an HTTP call");
	s.context = o.context;
	o.on_sent = NULL;
	o.on_done = sync_on_done;
	o.arg = &s;
	if (http_call_start(&o, e) == NULL) {
		lws_context_destroy(o.context);
		return -1;
	}
	while (!s.done) {
		if (lws_service(o.context, 0) < 0)
			break;
	}
	lws_context_destroy(o.context);
	if (outcome != NULL)
		*outcome = s.outcome;
	if (s.outcome != HTTP_ANSWERED)
		return sync_error(opts, s.outcome, e);
	*answer = s.answer;
	return 0;
}
