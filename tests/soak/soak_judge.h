/*
 * Judges what clients and workers wrote down, in the order of their times: one
 * line an event, "MICROSECONDS WHAT ...".  The bounds are the users' pages'.
 */
#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "soak_jobs.h"

enum soak_check {
	CHECK_LOST, /* accepted, and not known or not run in the end */
	CHECK_TWICE, /* at once, or after an end that was taken note of */
	CHECK_ORDER, /* of steps */
	CHECK_BUDGET, /* maxAttempts */
	CHECK_REFUSED, /* started though every hand-in was refused */
	CHECK_FENCE, /* an order under an outlived fence is obeyed */
	CHECK_EARLY, /* shown as ended before it is, or without cause */
	CHECK_LASTING, /* not at work again in time once all is calm */
	CHECK_CUT, /* a request is cut by a planned stop */
	CHECK_CONFIG, /* goes back, or comes late */
	CHECK_ANSWER, /* to another request */
	CHECK_UNASKED, /* what nobody handed in, or what was cancelled */
	CHECK_LEVEL, /* memory and descriptors */
	CHECK_EXIT, /* of a daemon by itself */
	SOAK_CHECKS
};

/* A job as the judge knows it, for the questions at the end. */
struct soak_owed {
	char id[SOAK_ID_LEN + 1];
	bool lasting;
	int running; /* of its tasks */
};

struct soak_judge;

/* Reads DIR/driver.log, DIR/workers.log and DIR/client-N.log as they grow. */
struct soak_judge *soak_judge_new(const char *dir, int clients);
void soak_judge_free(struct soak_judge *j);
/* Judges all events before a time. */
void soak_judge_read(struct soak_judge *j, int64_t until_us);
/* What a driver sees itself. */
__attribute__((format(printf, 3, 4))) void soak_judge_broken(
    struct soak_judge *j, enum soak_check check, const char *format, ...);
/* Accepted jobs that nobody has cancelled; the number of them. */
int soak_judge_owed(
    const struct soak_judge *j, struct soak_owed *list, int room);
/* After the last event. */
void soak_judge_end(struct soak_judge *j);
unsigned soak_judge_count(const struct soak_judge *j, enum soak_check check);
const char *soak_check_name(enum soak_check check);
/* Hand-ins accepted, starts and answers that were seen. */
void soak_judge_print(const struct soak_judge *j, FILE *out);

#endif
