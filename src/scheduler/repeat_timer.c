#include "repeat_timer.h"

#include "bounds.h"

/* As TCP's: a newest answer's weight, and the answer times to wait. */
#define ANSWER_WEIGHT 4 /* one part in so many */
#define ANSWER_TIMES 4
/* Some ten appends of the store: others may be in turn before ours. */
#define WAIT_MIN_MS 50
#define WAITS_GROW 4 /* times the first wait, at most */
#define WAIT_MAX_MS 1500 /* an append's own time-out */

void
repeat_timer_answered(struct repeat_timer *t, int64_t took_us)
{
	if (took_us < 1)
		took_us = 1;
	if (t->answer_us == 0)
		t->answer_us = took_us;
	else
		t->answer_us += (took_us - t->answer_us) / ANSWER_WEIGHT;
}

int64_t
repeat_timer_wait(const struct repeat_timer *t, int tries)
{
	int64_t us = t->answer_us * ANSWER_TIMES;

	if (us < WAIT_MIN_MS * US_PER_MS)
		us = WAIT_MIN_MS * US_PER_MS;
	us *= tries < WAITS_GROW ? tries : WAITS_GROW;
	return us < WAIT_MAX_MS * US_PER_MS ? us : WAIT_MAX_MS * US_PER_MS;
}
