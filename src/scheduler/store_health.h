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
struct store_belief {
	int64_t heard_us; /* newest answer; 0 never */
	int64_t failing_us; /* sending of the first call that failed since … */
	int64_t failed_us; /* … end of the newest … */
	int failed; /* … and how many */
	bool lost;
};

struct store_topic {
	char name[TOPIC_BYTES];
	struct store_belief belief;
};

struct store_health {
	struct store_topic topics[STORE_TOPICS_MAX];
	size_t topic_count;
	int64_t heard_us; /* newest answer, whatever it was about */
	int failed; /* calls since */
	bool lost; /* all topics are */
};

/* A call has ended. */
struct store_call_end {
	const char *topic; /* or group */
	int64_t sent_us;
	bool heard; /* an answer of use came */
};

struct store_change {
	enum {
		STORE_SAME,
		STORE_LOST,
		STORE_REGAINED
	} kind;
	int64_t silent_us; /* since the newest answer before; -1: none was */
	int failed; /* calls in that time */
};

/* The store is taken for heard at the beginning. */
void store_health_init(struct store_health *h, int64_t now_us);
/* Tells what has changed for the call's topic, and for the store as a whole. */
void store_health_note(struct store_health *h, int64_t now_us,
    const struct store_call_end *end, struct store_change *topic,
    struct store_change *all);
/* The newest calls about the topic had no answer; old failures say nothing. */
bool store_health_topic_lost(
    const struct store_health *h, const char *topic, int64_t now_us);
/* So it is with every topic that was asked for of late. */
bool store_health_lost(const struct store_health *h, int64_t now_us);
/* How long it is since anything of the store answered. */
int64_t store_health_silent_us(const struct store_health *h, int64_t now_us);

#endif
