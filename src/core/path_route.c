#include "path_route.h"

#include <stdlib.h>
#include <string.h>

static void
route_refuse(struct route *rt, int status, const char *reason)
{
	rt->status = status;
	rt->reason = reason;
}

static const struct text_member *
route_member_find(const struct text *t, const char *s, size_t len)
{
	char name[NAME_BYTES];

	if (len == 0 || len >= sizeof(name))
		return NULL;
	memcpy(name, s, len);
	name[len] = '\0';
	return text_member(t, name);
}

/* The path segment after the service's prefix names the member. */
static const struct text_member *
route_member_by_path(
    const struct text *t, const struct text_service *s, const char *path)
{
	size_t n = strlen(s->path);

	if (strncmp(path, s->path, n) != 0)
		return NULL;
	path += n;
	while (*path == '/')
		path++;
	return route_member_find(t, path, strcspn(path, "/?"));
}

/*
 * The member is named by the host without its port, or else by the first label
 * of the host.
 */
static const struct text_member *
route_member_by_host(const struct text *t, const char *host)
{
	const struct text_member *m;

	if (host == NULL)
		return NULL;
	m = route_member_find(t, host, strcspn(host, ":"));
	if (m != NULL)
		return m;
	return route_member_find(t, host, strcspn(host, ".:"));
}

static const struct text_member *
route_member(
    const struct text *t, const struct text_service *s, const struct request *m)
{
	const char *value;

	switch (t->member_by) {
	case MEMBER_BY_HEADER:
		value = headers_get(&m->headers, t->member_header);
		if (value == NULL)
			return NULL;
		return text_member(t, value);
	case MEMBER_BY_PATH:
		return route_member_by_path(t, s, m->path);
	case MEMBER_BY_HOST:
		return route_member_by_host(
		    t, headers_get(&m->headers, "host"));
	}
	return NULL;
}

static bool
route_has_prefix(const char *path, const char *prefix)
{
	size_t n = strlen(prefix);

	if (n == 0 || strncmp(path, prefix, n) != 0)
		return false;
	return prefix[n - 1] == '/' || path[n] == '\0' || path[n] == '/' ||
	    path[n] == '?';
}

static int
route_class(struct route *rt, const struct request *m)
{
	const char *value = headers_get(&m->headers, "mimosalead-class");

	if (value == NULL) {
		rt->class = route_has_prefix(m->path, rt->service->batch_path)
		    ? CLASS_BATCH
		    : CLASS_QUICK;
		return 0;
	}
	if (strcmp(value, text_class_name(CLASS_QUICK)) == 0)
		rt->class = CLASS_QUICK;
	else if (strcmp(value, text_class_name(CLASS_BATCH)) == 0)
		rt->class = CLASS_BATCH;
	else
		return -1;
	return 0;
}

static int
route_deadline(struct route *rt, const struct request *m)
{
	const char *value = headers_get(&m->headers, "mimosalead-deadline-ms");
	char *end;
	long ms;

	rt->deadline_ms = rt->service->classes[rt->class].deadline_ms;
	if (value == NULL)
		return 0;
	ms = strtol(value, &end, 10);
	if (end == value || *end != '\0' || ms <= 0)
		return -1;
	if (ms < rt->deadline_ms)
		rt->deadline_ms = (int)ms;
	return 0;
}

/* Safe methods are idempotent. For all others the service's setting decides. */
static bool
route_method_safe(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
	    strcmp(method, "OPTIONS") == 0;
}

void
route_request(struct route *rt, const struct text *t, const struct request *m)
{
	memset(rt, 0, sizeof(*rt));
	rt->service = text_service_for_path(t, m->path);
	if (rt->service == NULL) {
		route_refuse(rt, 404, "unknown-service");
		return;
	}
	rt->member = route_member(t, rt->service, m);
	if (rt->member == NULL) {
		route_refuse(rt, 403, "unknown-member");
		return;
	}
	if (route_class(rt, m) == -1) {
		route_refuse(rt, 400, "unknown-class");
		return;
	}
	if (route_deadline(rt, m) == -1) {
		route_refuse(rt, 400, "bad-deadline");
		return;
	}
	rt->idempotent =
	    rt->service->idempotent || route_method_safe(m->method);
	if (rt->idempotent)
		return;
	rt->idempotency_key = headers_get(&m->headers, "idempotency-key");
	if (rt->idempotency_key != NULL &&
	    (rt->idempotency_key[0] == '\0' ||
		strlen(rt->idempotency_key) >= KEY_MAX_BYTES))
		route_refuse(rt, 400, "bad-key");
}
