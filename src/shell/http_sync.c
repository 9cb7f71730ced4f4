#include <string.h>

#include "bounds.h"
#include "http_client.h"

#define HEADER_BUFFER_BYTES 32768 /* the library's buffer for request headers \
				   */
#define CALL_TIMEOUT_MAX_S 600 /* above every time-out of a call */

struct sync_call {
	struct lws_context *context;
	bool done;
	enum http_outcome end;
	struct answer *answer;
};

static void
sync_end(void *arg, enum http_outcome end, struct answer *answer)
{
	struct sync_call *s = arg;

	s->done = true;
	s->end = end;
	s->answer = answer_ref(answer);
	/* The loop would sleep on: timers run before it polls. */
	lws_cancel_service(s->context);
}

static int
sync_error(
    const struct http_call_opts *opts, enum http_outcome end, struct err *e)
{
	switch (end) {
	case HTTP_ANSWERED:
		return 0;
	case HTTP_UNSENT:
		return err_set(e, ERR_IO, 0,
		    "check the address and that the process there runs",
		    "no connection to %s port %d", opts->addr, opts->port);
	case HTTP_NO_ANSWER:
		return err_set(e, ERR_IO, 0,
		    "look at the other side's log, then try again",
		    "%s port %d closed without an answer", opts->addr,
		    opts->port);
	case HTTP_TRUNCATED:
		return err_set(e, ERR_PROTOCOL, 0,
		    "look at the other side's log, then try again",
		    "answer of %s port %d was cut short or too large",
		    opts->addr, opts->port);
	case HTTP_TIMED_OUT:
		return err_set(e, ERR_TIMEOUT, 0,
		    "try again, or with a longer time-out",
		    "no answer of %s port %d within %d ms", opts->addr,
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
    enum http_outcome *end, struct err *e)
{
	struct http_call_opts o = *opts;
	struct sync_call s = {.end = HTTP_UNSENT};

	lws_set_log_level(LLL_ERR, NULL);
	o.context = sync_context();
	if (o.context == NULL)
		return err_set(e, ERR_MEMORY, 0,
		    "give the process more memory and descriptors",
		    "no context for an HTTP call");
	s.context = o.context;
	o.on_sent = NULL;
	o.on_done = sync_end;
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
	if (end != NULL)
		*end = s.end;
	if (s.end != HTTP_ANSWERED)
		return sync_error(opts, s.end, e);
	*answer = s.answer;
	return 0;
}
