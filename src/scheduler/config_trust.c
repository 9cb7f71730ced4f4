#include "config_trust.h"

#include <string.h>

/* A peer that did not answer is followed by the next one, this much later. */
#define RETRY_SPACING_MS 50
/* Peers count as reachable for so long after one has answered. */
#define ANSWER_RECENT_MS 1000
/*
 * A confirmation of at most this age comes from a daemon that reads the topic:
 * a long poll of 700 ms, its round trip, and the one before it.
 */
#define READER_AGE_MAX_MS 1600
/*
 * So many peers in a row that have no recent confirmation show that the whole
 * store is out.  Asks begin up to 1.7 s after the last confirmation, where the
 * store is silent; three fit in before the bound without the stretch.
 */
#define STALE_ASKS_MIN 3
/* A read that works delivers a version that a peer has already within this. */
#define HINT_DELAY_MS 100

void
config_trust_init(struct config_trust *t, int64_t now_us)
{
	memset(t, 0, sizeof(*t));
	/* daemons of one deployment don't begin with the same peer */
	t->next_peer = (size_t)(now_us / US_PER_MS) % CONFIG_PEERS_MAX;
}

void
config_trust_read_started(
    struct config_trust *t, int64_t now_us, int long_poll_ms)
{
	t->read_due_us =
	    now_us + (long_poll_ms + CONFIG_READ_OVERDUE_MS) * US_PER_MS;
}

static void
confirm(struct config_trust *t, int64_t as_of_us)
{
	if (as_of_us > t->confirmed_us)
		t->confirmed_us = as_of_us;
}

void
config_trust_read_ended(
    struct config_trust *t, enum config_read_end end, int64_t sent_us)
{
	t->read_due_us = 0;
	switch (end) {
	case CONFIG_READ_COMPLETE:
		t->read_failed = false;
		t->stale_asks = 0;
		confirm(t, sent_us);
		break;
	case CONFIG_READ_PARTIAL:
		break;
	case CONFIG_READ_FAILED:
		t->read_failed = true;
		break;
	}
}

bool
config_trust_reads_fail(const struct config_trust *t, int64_t now_us)
{
	return t->read_failed ||
	    (t->read_due_us != 0 && now_us >= t->read_due_us);
}

static bool
same_endpoint(const struct endpoint *a, const struct endpoint *b)
{
	return a->port == b->port && strcmp(a->addr, b->addr) == 0;
}

void
config_trust_add_peer(
    struct config_trust *t, int64_t now_us, const struct endpoint *at)
{
	struct config_peer *p = NULL;
	size_t i;

	for (i = 0; i < t->peer_count; i++) {
		if (same_endpoint(&t->peers[i].at, at)) {
			t->peers[i].seen_us = now_us;
			return;
		}
		if (p == NULL || t->peers[i].seen_us < p->seen_us)
			p = &t->peers[i];
	}
	if (t->peer_count < CONFIG_PEERS_MAX)
		p = &t->peers[t->peer_count++];
	p->at = *at;
	p->seen_us = now_us;
}

void
config_trust_newer_seen(struct config_trust *t, int64_t now_us,
    const struct endpoint *at, int64_t version)
{
	int64_t due_us = now_us;

	if (t->hint_version != 0)
		return;
	if (!config_trust_reads_fail(t, now_us))
		due_us += HINT_DELAY_MS * US_PER_MS;
	/* bounds what a peer costs whose versions cannot be put in force */
	if (t->hint_asked_us != 0 &&
	    due_us < t->hint_asked_us + CONFIG_ASK_INTERVAL_MS * US_PER_MS)
		due_us = t->hint_asked_us + CONFIG_ASK_INTERVAL_MS * US_PER_MS;
	t->hint_version = version;
	t->hint_due_us = due_us;
	t->hint_peer = *at;
}

static void
begin_ask(struct config_trust *t, int64_t now_us)
{
	t->asking = true;
	t->asked_us = now_us;
	t->next_ask_us = now_us + CONFIG_ASK_INTERVAL_MS * US_PER_MS;
}

bool
config_trust_ask(struct config_trust *t, int64_t now_us, int64_t version,
    struct endpoint *to)
{
	if (t->asking)
		return false;
	if (t->hint_version != 0 && t->hint_version <= version)
		t->hint_version = 0;
	if (t->hint_version != 0 && now_us >= t->hint_due_us) {
		t->hint_version = 0;
		t->hint_asked_us = now_us;
		*to = t->hint_peer;
		begin_ask(t, now_us);
		return true;
	}
	if (!config_trust_reads_fail(t, now_us) || t->peer_count == 0 ||
	    now_us < t->next_ask_us)
		return false;
	*to = t->peers[t->next_peer++ % t->peer_count].at;
	begin_ask(t, now_us);
	return true;
}

void
config_trust_answered(
    struct config_trust *t, int64_t now_us, int64_t sent_us, int64_t age_us)
{
	t->asking = false;
	t->answered_us = now_us;
	if (age_us >= 0 && age_us < sent_us)
		confirm(t, sent_us - age_us);
	if (age_us >= 0 &&
	    now_us - (sent_us - age_us) <= READER_AGE_MAX_MS * US_PER_MS)
		t->stale_asks = 0;
	else
		t->stale_asks++;
}

void
config_trust_unanswered(struct config_trust *t, int64_t now_us)
{
	t->asking = false;
	t->stale_asks++;
	t->next_ask_us = t->asked_us + RETRY_SPACING_MS * US_PER_MS;
	if (t->next_ask_us < now_us)
		t->next_ask_us = now_us;
}

int64_t
config_trust_wake_us(const struct config_trust *t, int64_t now_us)
{
	int64_t wake_us = INT64_MAX;

	if (t->hint_version != 0 && !t->asking)
		wake_us = t->hint_due_us;
	if (!config_trust_reads_fail(t, now_us)) {
		if (t->read_due_us != 0 && t->read_due_us < wake_us)
			wake_us = t->read_due_us;
		return wake_us;
	}
	/* also without a peer to ask, since the age of what is known grows */
	if (t->asking || t->peer_count == 0)
		return now_us + CONFIG_ASK_INTERVAL_MS * US_PER_MS;
	return t->next_ask_us < wake_us ? t->next_ask_us : wake_us;
}

int64_t
config_trust_age_us(const struct config_trust *t, int64_t now_us)
{
	return t->confirmed_us != 0 ? now_us - t->confirmed_us : -1;
}

bool
config_trust_current(const struct config_trust *t, int64_t now_us,
    const struct config_trust_bounds *b)
{
	int64_t limit_us = (b->apply_ms - CONFIG_TRUST_MARGIN_MS) * US_PER_MS;
	int64_t age_us = config_trust_age_us(t, now_us);

	if (age_us < 0)
		return false;
	if (age_us <= limit_us)
		return true;
	if (t->answered_us == 0 ||
	    now_us - t->answered_us > ANSWER_RECENT_MS * US_PER_MS ||
	    t->stale_asks < STALE_ASKS_MIN)
		return false;
	return age_us <= limit_us + b->max_stretch_ms * US_PER_MS;
}
