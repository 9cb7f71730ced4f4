#include "attempt_check.h"

#include "bounds.h"

/* Between the last check and the end: longer than a loop that runs late. */
#define CHECK_MARGIN_MS 50

struct attempt_check
attempt_check(const struct attempt *a, int64_t now_us)
{
	int64_t since_us = a->sent_us, query_us, last_us;
	struct attempt_check c = {0};

	/* another owner does not know of the request */
	if (a->is_owner && a->heard_us > since_us)
		since_us = a->heard_us;
	c.end_us = since_us + ATTEMPT_SILENCE_MAX_MS * US_PER_MS;
	if (c.end_us > a->deadline_us)
		c.end_us = a->deadline_us;
	query_us = since_us + ATTEMPT_QUERY_AFTER_MS * US_PER_MS;
	last_us = c.end_us - CHECK_MARGIN_MS * US_PER_MS;
	c.query = a->is_owner && now_us >= query_us && now_us < last_us;
	c.check_us = now_us < query_us ? query_us : last_us;
	if (c.check_us <= now_us)
		c.check_us = c.end_us;
	return c;
}
