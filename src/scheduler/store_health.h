/*
 * Reachability of the store, for each topic and group and as a whole.  Topics
 * and groups are served by different parts of the store, some of which can be
 * down while the others answer.  No I/O and no clock.
 */
#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store_wire.h"

#define STORE_TOPICS_MAX 100 /* the platform's limit */

/* Valid when zeroed: no call has ended yet. */
struct store_topic_health {
	int64_t last_answer_us; /* 0: never */
	/* failures since the last answer */
	int64_t first_failure_us; /* when the first failed call was sent */
	int64_t last_failure_us; /* when the last failed call ended */
	int failure_count;
	bool unreachable;
};

struct store_topic {
	char name[TOPIC_BYTES];
	struct store_topic_health health;
};

struct store_health {
	struct store_topic topics[STORE_TOPICS_MAX];
	size_t topic_count;
	int64_t last_answer_us; /* about any topic */
	int failure_count; /* failed calls since the last answer */
	bool unreachable; /* all recently used topics are unreachable */
};

/* A store call that has ended. */
struct store_call_result {
	const char *topic; /* or group */
	int64_t sent_us;
	bool answered; /* with a usable answer */
};

struct store_health_change {
	enum {
		STORE_HEALTH_UNCHANGED,
		STORE_HEALTH_LOST,
		STORE_HEALTH_RESTORED
	} kind;
	int64_t since_answer_us; /* age of the previous answer; -1: none yet */
	int failure_count; /* failed calls since the previous answer */
};

/* The store counts as having answered at "now_us". */
void store_health_init(struct store_health *h, int64_t now_us);
/*
 * Records the end of a call.  Returns in "topic" and "all" what it changed for
 * the call's topic and for the store as a whole.
 */
void store_health_record(struct store_health *h, int64_t now_us,
    const struct store_call_result *result, struct store_health_change *topic,
    struct store_health_change *all);
/*
 * The latest calls about the topic failed.  False if the last failure is too
 * old to be conclusive.
 */
bool store_health_topic_unreachable(
    const struct store_health *h, const char *topic, int64_t now_us);
/* Every recently used topic is unreachable. */
bool store_health_unreachable(const struct store_health *h, int64_t now_us);
/* Time since the last answer about any topic. */
int64_t store_health_answer_age_us(
    const struct store_health *h, int64_t now_us);

#endif
