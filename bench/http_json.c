#include "http_json.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_client.h"

#define LISTEN_BACKLOG 16

static const char *const kept_headers[] = {"mimosalead-outcome",
    "mimosalead-reason", "mimosalead-retry-after-ms", "retry-after",
    "x-upstream", "content-type", NULL};

int
http_raw(int port, const char *method, const char *path,
    const struct headers *headers, const char *body, struct answer **answer)
{
	struct http_call_opts opts = {.addr = "127.0.0.1",
	    .port = port,
	    .method = method,
	    .path = path,
	    .headers = headers,
	    .keep_headers = kept_headers,
	    .timeout_ms = HTTP_JSON_TIMEOUT_MS,
	    .answer_body_max_bytes = ANSWER_MAX_BYTES};
	struct answer *a = NULL;
	struct err e = {0};
	int status = -1;

	*answer = NULL;
	if (body != NULL)
		opts.body = buf_from(body, strlen(body));
	/* The call takes its own reference to the body. */
	if (http_sync(&opts, &a, NULL, &e) == 0 && a != NULL) {
		status = a->status;
		*answer = a;
	}
	buf_unref(opts.body);
	return status;
}

int
http_json(int port, const char *method, const char *path, const char *body,
    struct json_object **out)
{
	struct json_tokener *tok;
	struct answer *a;
	int status;

	if (out != NULL)
		*out = NULL;
	status = http_raw(port, method, path, NULL, body, &a);
	if (status == -1)
		return -1;
	if (out != NULL && a->body != NULL && a->body->len > 0) {
		tok = json_tokener_new();
		*out = json_tokener_parse_ex(
		    tok, (const char *)a->body->data, (int)a->body->len);
		json_tokener_free(tok);
	}
	answer_unref(a);
	return status;
}

int
raw_connect(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd != -1 &&
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1) {
		close(fd);
		return -1;
	}
	return fd;
}

int
raw_listen(int *port)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	socklen_t len = sizeof(sin);

	if (fd != -1 &&
	    (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
		listen(fd, LISTEN_BACKLOG) == -1 ||
		getsockname(fd, (struct sockaddr *)&sin, &len) == -1)) {
		close(fd);
		return -1;
	}
	*port = ntohs(sin.sin_port);
	return fd;
}

struct json_object *
json_at(struct json_object *o, const char *path)
{
	char part[128];
	size_t n;

	while (o != NULL && *path != '\0') {
		n = strcspn(path, "/");
		snprintf(part, sizeof(part), "%.*s", (int)n, path);
		if (!json_object_object_get_ex(o, part, &o))
			return NULL;
		path += n;
		path += *path == '/';
	}
	return o;
}

int64_t
json_int(struct json_object *o, const char *path, int64_t missing)
{
	struct json_object *x = json_at(o, path);

	return x == NULL ? missing : json_object_get_int64(x);
}

const char *
json_string(struct json_object *o, const char *path)
{
	struct json_object *x = json_at(o, path);

	return x == NULL ? "" : json_object_get_string(x);
}
