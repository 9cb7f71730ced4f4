/*
 * What a request is, by the operators' text: its service, member, class,
 * deadline and whether it may run twice.  Nothing is guessed.
 */
#ifndef PATH_ROUTE_H
#define PATH_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "request.h"
#include "text.h"

struct route {
	const struct text_service *service;
	const struct text_member *member;
	enum text_class_id class;
	int deadline_ms;
	bool idempotent;
	const char
	    *idempotency_key; /* inside the request; NULL: none to claim */
	/* of a refusal; status 0 where the request is well described */
	int status;
	const char *reason; /* static */
};

/* Fills "rt"; status and reason tell why a request is not served. */
void route_request(
    struct route *rt, const struct text *t, const struct request *m);

#endif
