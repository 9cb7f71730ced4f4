/*
 * How long an attempt of a request at a pool's owner may last: up to the
 * caller's deadline while the owner is known to be alive.  No I/O and no clock.
 */
#ifndef ATTEMPT_CHECK_H
#define ATTEMPT_CHECK_H

#include <stdbool.h>
#include <stdint.h>

/* Without any answer of the owner for this long, an attempt ends. */
#define ATTEMPT_SILENCE_MAX_MS 700
/* Half of it: an owner that answers has time to answer a query. */
#define ATTEMPT_QUERY_AFTER_MS (ATTEMPT_SILENCE_MAX_MS / 2)

struct attempt {
	int64_t sent_us;
	int64_t deadline_us; /* of the caller */
	/* latest answer of the same owner to any request for the same pool */
	int64_t heard_us;
	bool is_owner; /* the group still assigns the pool to it */
};

struct attempt_check {
	int64_t end_us; /* ends without an answer, unless the owner is heard */
	int64_t check_us; /* when to check again */
	bool query; /* nothing has been heard: ask whether the owner is alive */
};

struct attempt_check attempt_check(const struct attempt *a, int64_t now_us);

#endif
