#include "store_health.h"

#include <stdio.h>
#include <string.h>

#define UNREACHABLE_MIN_FAILURES 2 /* one answer can get lost on its way */
#define UNREACHABLE_AFTER_MS                             \
	500 /* of failures; the group is joined so often \
	     */
/* Twice the longest pause between two calls about what is still in use. */
#define RECENT_MS 4000

static void
topic_health_record(struct store_topic_health *b, int64_t now_us,
    const struct store_call_result *end, struct store_health_change *change)
{
	struct store_topic_health before = *b;

	*change = (struct store_health_change){
	    .since_answer_us = before.last_answer_us != 0
		? now_us - before.last_answer_us
		: -1,
	    .failure_count = before.failure_count,
	};
	if (end->answered) {
		*b = (struct store_topic_health){.last_answer_us = now_us};
		change->kind = before.unreachable ? STORE_HEALTH_RESTORED
						  : STORE_HEALTH_UNCHANGED;
		return;
	}
	/* later calls than this one were answered */
	if (end->sent_us < b->last_answer_us)
		return;
	if (b->failure_count++ == 0)
		b->first_failure_us = end->sent_us;
	b->last_failure_us = now_us;
	change->failure_count = b->failure_count;
	b->unreachable = b->unreachable ||
	    (b->failure_count >= UNREACHABLE_MIN_FAILURES &&
		now_us - b->first_failure_us >=
		    UNREACHABLE_AFTER_MS * US_PER_MS);
	if (b->unreachable && !before.unreachable)
		change->kind = STORE_HEALTH_LOST;
}

static bool
topic_health_unreachable(const struct store_topic_health *b, int64_t now_us)
{
	return b->unreachable &&
	    now_us - b->last_failure_us < RECENT_MS * US_PER_MS;
}

/* Every topic that was asked for of late is lost. */
static bool
all_topics_unreachable(const struct store_health *h, int64_t now_us)
{
	const struct store_topic_health *b;
	bool asked = false;
	size_t i;

	for (i = 0; i < h->topic_count; i++) {
		b = &h->topics[i].health;
		if (topic_health_unreachable(b, now_us))
			asked = true;
		else if (now_us - b->last_answer_us < RECENT_MS * US_PER_MS)
			return false;
	}
	return asked;
}

/* The number of topics where it is not among them. */
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

/* NULL where no room is left. */
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
    const struct store_call_result *end, struct store_health_change *topic,
    struct store_health_change *all)
{
	struct store_topic *t = find_or_add_topic(h, end->topic);
	bool lost;

	*topic = (struct store_health_change){.kind = STORE_HEALTH_UNCHANGED};
	if (t != NULL)
		topic_health_record(&t->health, now_us, end, topic);
	*all = (struct store_health_change){
	    .since_answer_us = now_us - h->last_answer_us,
	    .failure_count = h->failure_count + !end->answered,
	};
	if (end->answered)
		h->last_answer_us = now_us;
	h->failure_count = end->answered ? 0 : h->failure_count + 1;
	lost = all_topics_unreachable(h, now_us);
	if (lost != h->unreachable)
		all->kind = lost ? STORE_HEALTH_LOST : STORE_HEALTH_RESTORED;
	h->unreachable = lost;
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
