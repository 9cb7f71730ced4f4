/*
 * What a daemon knows of the store: each topic and group is kept by parts of
 * the store that can be away while the others answer.  No I/O and no clock.
 */
#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store_wire.h"

#define STORE_TOPICS_MAX 100 /* the platform's own bound */

/* Zeroed: no call has ended yet. */
struct store_topic_health {
	int64_t last_answer_us; /* newest answer; 0 never */
	int64_t first_failure_us; /* sending of the first call that failed since
				     … */
	int64_t last_failure_us; /* … end of the newest … */
	int failure_count; /* … and how many */
	bool unreachable;
};

struct store_topic {
	char name[TOPIC_BYTES];
	struct store_topic_health health;
};

struct store_health {
	struct store_topic topics[STORE_TOPICS_MAX];
	size_t topic_count;
	int64_t last_answer_us; /* newest answer, whatever it was about */
	int failure_count; /* calls since */
	bool unreachable; /* all topics are */
};

/* A call has ended. */
struct store_call_result {
	const char *topic; /* or group */
	int64_t sent_us;
	bool answered; /* an answer of use came */
};

struct store_health_change {
	enum {
		STORE_HEALTH_UNCHANGED,
		STORE_HEALTH_LOST,
		STORE_HEALTH_RESTORED
	} kind;
	int64_t
	    since_answer_us; /* since the newest answer before; -1: none was */
	int failure_count; /* calls in that time */
};

/* The store is taken for heard at the beginning. */
void store_health_init(struct store_health *h, int64_t now_us);
/* Tells what has changed for the call's topic, and for the store as a whole. */
void store_health_record(struct store_health *h, int64_t now_us,
    const struct store_call_result *end, struct store_health_change *topic,
    struct store_health_change *all);
/* The newest calls about the topic had no answer; old failures say nothing. */
bool store_health_topic_unreachable(
    const struct store_health *h, const char *topic, int64_t now_us);
/* So it is with every topic that was asked for of late. */
bool store_health_unreachable(const struct store_health *h, int64_t now_us);
/* How long it is since anything of the store answered. */
int64_t store_health_answer_age_us(
    const struct store_health *h, int64_t now_us);

#endif
