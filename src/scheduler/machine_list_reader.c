#include "machine_list_reader.h"

#include <stdlib.h>

#define PAGE_TIMEOUT_MS 1000
#define PAGE_MAX_BYTES (2 * 1024 * 1024)

struct machine_list_reader {
	struct scheduler *scheduler;
	struct http_call *call;
	struct machine_list list; /* rows of the pages read so far */
	machine_list_fn *on_end;
	void *arg;
};

static int read_page(struct machine_list_reader *r);

static void
reader_free(struct machine_list_reader *r)
{
	machine_list_uninit(&r->list);
	free(r);
}

static void
on_page_end(void *arg, enum http_outcome end, struct answer *a)
{
	struct machine_list_reader *r = arg;
	bool ok = end == HTTP_ANSWERED && a->status == 200 && a->body != NULL &&
	    machine_list_add_page(&r->list, a->body->data, a->body->len) == 0;

	r->call = NULL;
	if (ok && r->list.next_page_token != NULL) {
		if (read_page(r) == 0)
			return;
		ok = false;
	}
	if (!ok)
		daemon_log(LOG_LEVEL_WARN, "machines",
		    "msg=\"a page of the platform's list of machines cannot "
		    "be read; the list is discarded\" end=%d status=%d "
		    "read=%zu",
		    end, end == HTTP_ANSWERED ? a->status : 0, r->list.count);
	r->on_end(r->arg, ok ? &r->list : NULL);
	reader_free(r);
}

static int
read_page(struct machine_list_reader *r)
{
	const struct platform_settings *b = &r->scheduler->settings;
	char *path = machine_list_path(r->list.next_page_token);
	struct http_call_opts o = {
	    .context = r->scheduler->context,
	    .pool = r->scheduler->http_connections,
	    .idempotent = true,
	    .addr = b->machines_endpoint.addr,
	    .port = b->machines_endpoint.port,
	    .method = "GET",
	    .path = path,
	    .timeout_ms = PAGE_TIMEOUT_MS,
	    .answer_body_max_bytes = PAGE_MAX_BYTES,
	    .on_done = on_page_end,
	    .arg = r,
	};

	if (path == NULL)
		return -1;
	r->call = http_call_start(&o, NULL);
	free(path);
	return r->call != NULL ? 0 : -1;
}

struct machine_list_reader *
machine_list_reader_start(
    struct scheduler *s, machine_list_fn *on_end, void *arg)
{
	struct machine_list_reader *r;

	if (s->settings.machines_endpoint.addr[0] == '\0')
		return NULL;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->scheduler = s;
	r->on_end = on_end;
	r->arg = arg;
	if (read_page(r) == 0)
		return r;
	reader_free(r);
	return NULL;
}

void
machine_list_reader_cancel(struct machine_list_reader *r)
{
	if (r == NULL)
		return;
	if (r->call != NULL)
		http_call_cancel(r->call);
	reader_free(r);
}
