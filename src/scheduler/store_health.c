#include "store_health.h"

#include <stdio.h>
#include <string.h>

#define UNREACHABLE_MIN_FAILURES 2 /* a single answer can get lost */
/* Failures must span this time; equals the interval of group joins. */
#define UNREACHABLE_AFTER_MS 500
/* Twice the longest interval between calls about a topic that is in use. */
#define RECENT_MS 4000

static void
topic_health_record(struct store_topic_health *t, int64_t now_us,
    const struct store_call_result *result, struct store_health_change *change)
{
	struct store_topic_health before = *t;

	*change = (struct store_health_change){
	    .since_answer_us = before.last_answer_us != 0
		? now_us - before.last_answer_us
		: -1,
	    .failure_count = before.failure_count,
	};
	if (result->answered) {
		*t = (struct store_topic_health){.last_answer_us = now_us};
		change->kind = before.unreachable ? STORE_HEALTH_RESTORED
						  : STORE_HEALTH_UNCHANGED;
		return;
	}
	/* a call sent later was answered */
	if (result->sent_us < t->last_answer_us)
		return;
	if (t->failure_count++ == 0)
		t->first_failure_us = result->sent_us;
	t->last_failure_us = now_us;
	change->failure_count = t->failure_count;
	t->unreachable = t->unreachable ||
	    (t->failure_count >= UNREACHABLE_MIN_FAILURES &&
		now_us - t->first_failure_us >=
		    UNREACHABLE_AFTER_MS * US_PER_MS);
	if (t->unreachable && !before.unreachable)
		change->kind = STORE_HEALTH_LOST;
}

static bool
topic_health_unreachable(const struct store_topic_health *t, int64_t now_us)
{
	return t->unreachable &&
	    now_us - t->last_failure_us < RECENT_MS * US_PER_MS;
}

/* Topics without a recent call are ignored; false if there is no other. */
static bool
all_topics_unreachable(const struct store_health *h, int64_t now_us)
{
	const struct store_topic_health *t;
	bool any_unreachable = false;
	size_t i;

	for (i = 0; i < h->topic_count; i++) {
		t = &h->topics[i].health;
		if (topic_health_unreachable(t, now_us))
			any_unreachable = true;
		else if (now_us - t->last_answer_us < RECENT_MS * US_PER_MS)
			return false;
	}
	return any_unreachable;
}

/* Index of the topic; h->topic_count if it is unknown. */
static size_t
topic_index(const struct store_health *h, const char *name)
{
	size_t i;

	for (i = 0; i < h->topic_count; i++) {
		if (strcmp(h->topics[i].name, name) == 0)
			break;
	}
	return i;
}

/* NULL if the table is full. */
static struct store_topic *
find_or_add_topic(struct store_health *h, const char *name)
{
	size_t i = topic_index(h, name);

	if (i == STORE_TOPICS_MAX)
		return NULL;
	if (i == h->topic_count) {
		h->topic_count++;
		h->topics[i] = (struct store_topic){0};
		snprintf(h->topics[i].name, TOPIC_BYTES, "%s", name);
	}
	return &h->topics[i];
}

void
store_health_init(struct store_health *h, int64_t now_us)
{
	h->topic_count = 0;
	h->last_answer_us = now_us;
	h->failure_count = 0;
	h->unreachable = false;
}

void
store_health_record(struct store_health *h, int64_t now_us,
    const struct store_call_result *result, struct store_health_change *topic,
    struct store_health_change *all)
{
	struct store_topic *t = find_or_add_topic(h, result->topic);
	bool unreachable;

	*topic = (struct store_health_change){.kind = STORE_HEALTH_UNCHANGED};
	if (t != NULL)
		topic_health_record(&t->health, now_us, result, topic);
	*all = (struct store_health_change){
	    .since_answer_us = now_us - h->last_answer_us,
	    .failure_count = h->failure_count + !result->answered,
	};
	if (result->answered)
		h->last_answer_us = now_us;
	h->failure_count = result->answered ? 0 : h->failure_count + 1;
	unreachable = all_topics_unreachable(h, now_us);
	if (unreachable != h->unreachable)
		all->kind =
		    unreachable ? STORE_HEALTH_LOST : STORE_HEALTH_RESTORED;
	h->unreachable = unreachable;
}

bool
store_health_topic_unreachable(
    const struct store_health *h, const char *topic, int64_t now_us)
{
	size_t i = topic_index(h, topic);

	return i < h->topic_count &&
	    topic_health_unreachable(&h->topics[i].health, now_us);
}

bool
store_health_unreachable(const struct store_health *h, int64_t now_us)
{
	return all_topics_unreachable(h, now_us);
}

int64_t
store_health_answer_age_us(const struct store_health *h, int64_t now_us)
{
	return now_us - h->last_answer_us;
}
