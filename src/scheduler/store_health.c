#include "store_health.h"

#include <stdio.h>
#include <string.h>

#define FAILED_MIN 2 /* one answer can get lost on its way */
#define LOST_AFTER_MS 500 /* of failures; the group is joined so often */
/* Twice the longest pause between two calls about what is still in use. */
#define OF_LATE_MS 4000

static void
belief_note(struct store_belief *b, int64_t now_us,
    const struct store_call_end *end, struct store_change *change)
{
	struct store_belief before = *b;

	*change = (struct store_change){
	    .silent_us = before.heard_us != 0 ? now_us - before.heard_us : -1,
	    .failed = before.failed,
	};
	if (end->heard) {
		*b = (struct store_belief){.heard_us = now_us};
		change->kind = before.lost ? STORE_REGAINED : STORE_SAME;
		return;
	}
	/* later calls than this one were answered */
	if (end->sent_us < b->heard_us)
		return;
	if (b->failed++ == 0)
		b->failing_us = end->sent_us;
	b->failed_us = now_us;
	change->failed = b->failed;
	b->lost = b->lost ||
	    (b->failed >= FAILED_MIN &&
		now_us - b->failing_us >= LOST_AFTER_MS * US_PER_MS);
	if (b->lost && !before.lost)
		change->kind = STORE_LOST;
}

static bool
belief_lost(const struct store_belief *b, int64_t now_us)
{
	return b->lost && now_us - b->failed_us < OF_LATE_MS * US_PER_MS;
}

/* Every topic that was asked for of late is lost. */
static bool
none_answers(const struct store_health *h, int64_t now_us)
{
	const struct store_belief *b;
	bool asked = false;
	size_t i;

	for (i = 0; i < h->topic_count; i++) {
		b = &h->topics[i].belief;
		if (belief_lost(b, now_us))
			asked = true;
		else if (now_us - b->heard_us < OF_LATE_MS * US_PER_MS)
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
take_topic(struct store_health *h, const char *name)
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
	h->heard_us = now_us;
	h->failed = 0;
	h->lost = false;
}

void
store_health_note(struct store_health *h, int64_t now_us,
    const struct store_call_end *end, struct store_change *topic,
    struct store_change *all)
{
	struct store_topic *t = take_topic(h, end->topic);
	bool lost;

	*topic = (struct store_change){.kind = STORE_SAME};
	if (t != NULL)
		belief_note(&t->belief, now_us, end, topic);
	*all = (struct store_change){
	    .silent_us = now_us - h->heard_us,
	    .failed = h->failed + !end->heard,
	};
	if (end->heard)
		h->heard_us = now_us;
	h->failed = end->heard ? 0 : h->failed + 1;
	lost = none_answers(h, now_us);
	if (lost != h->lost)
		all->kind = lost ? STORE_LOST : STORE_REGAINED;
	h->lost = lost;
}

bool
store_health_topic_lost(
    const struct store_health *h, const char *topic, int64_t now_us)
{
	size_t i = topic_index(h, topic);

	return i < h->topic_count && belief_lost(&h->topics[i].belief, now_us);
}

bool
store_health_lost(const struct store_health *h, int64_t now_us)
{
	return none_answers(h, now_us);
}

int64_t
store_health_silent_us(const struct store_health *h, int64_t now_us)
{
	return now_us - h->heard_us;
}
