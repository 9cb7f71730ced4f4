/*
 * Classification of a request by the operators' text: its service, member,
 * class, deadline and whether it is idempotent. A request that the text does
 * not describe is refused.
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
	/* Points into the request; NULL where no claim is needed. */
	const char *idempotency_key;
	/*
	 * status and reason of a refusal; status 0 where the request is
	 * accepted
	 */
	int status;
	const char *reason; /* static string */
};

/* Fills "rt". Where the request is refused, status and reason are set. */
void route_request(
    struct route *rt, const struct text *t, const struct request *m);

#endif
