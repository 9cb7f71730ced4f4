#include "request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int
headers_add(struct headers *h, const char *name, const char *value)
{
	struct header *x;

	if (h->count == REQUEST_HEADERS_MAX)
		return -1;
	x = &h->list[h->count];
	x->name = strdup(name);
	x->value = strdup(value);
	if (x->name == NULL || x->value == NULL) {
		free(x->name);
		free(x->value);
		return -1;
	}
	h->count++;
	return 0;
}

const char *
headers_get(const struct headers *h, const char *name)
{
	size_t i;

	for (i = 0; i < h->count; i++) {
		if (strcmp(h->list[i].name, name) == 0)
			return h->list[i].value;
	}
	return NULL;
}

void
headers_uninit(struct headers *h)
{
	size_t i;

	for (i = 0; i < h->count; i++) {
		free(h->list[i].name);
		free(h->list[i].value);
	}
	h->count = 0;
}

static size_t
headers_bytes(const struct headers *h)
{
	size_t i, n = 0;

	for (i = 0; i < h->count; i++)
		n += strlen(h->list[i].name) + strlen(h->list[i].value) + 2;
	return n;
}

struct request *
request_new(const char *method, const char *path)
{
	struct request *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->refs = 1;
	snprintf(r->method, sizeof(r->method), "%s", method);
	r->path = strdup(path);
	if (r->path == NULL) {
		free(r);
		return NULL;
	}
	return r;
}

struct request *
request_ref(struct request *r)
{
	if (r != NULL)
		r->refs++;
	return r;
}

void
request_unref(struct request *r)
{
	if (r == NULL || --r->refs > 0)
		return;
	free(r->path);
	headers_uninit(&r->headers);
	buf_unref(r->body);
	free(r);
}

size_t
request_bytes(const struct request *r)
{
	size_t n;

	n = sizeof(*r) + strlen(r->path) + 1 + headers_bytes(&r->headers);
	if (r->body != NULL)
		n += sizeof(*r->body) + r->body->cap;
	return n;
}

struct answer *
answer_new(int status)
{
	struct answer *a;

	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	a->refs = 1;
	a->status = status;
	return a;
}

struct answer *
answer_ref(struct answer *a)
{
	if (a != NULL)
		a->refs++;
	return a;
}

void
answer_unref(struct answer *a)
{
	if (a == NULL || --a->refs > 0)
		return;
	headers_uninit(&a->headers);
	buf_unref(a->body);
	free(a);
}
