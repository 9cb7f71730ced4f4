#include "owners.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "candidacy.h"
#include "duty.h"
#include "join_pace.h"
#include "shards.h"
#include "store_client.h"

#define GROUP "schedulers"
#define GROUP_TOPIC "pools" /* its partitions stand for pools */
#define MEMBER_TTL_MS 2000 /* four joins: one or two may be lost */
#define JOIN_TIMEOUT_MS 900
#define JOIN_TRIES_MAX 4 /* under way; the oldest is given up for a fifth */
#define OWNERS_FIRST_MS 500 /* the members have joined by then */
#define OWNERS_EVERY_MS 5000 /* at least; at once when the group changes */
#define STANDBY_EVERY_MS 1000 /* where the group's changes are not heard */
#define OWNERS_PAUSE_MS 200 /* between two that were asked for */
#define STEP_BACK_EVERY_MS 50 /* until what is owned has been written */
#define PARTS_MAX 64

struct join_try {
	struct owners *owners;
	struct store_op *op; /* NULL once it has ended */
	int64_t sent_us;
	int64_t sent_boot_us;
};

struct owners {
	struct scheduler *scheduler;
	struct candidacy candidacy;
	bool joined; /* or may be, by a join without an answer */
	int64_t generation;
	struct join_pace pace;
	struct join_try tries[JOIN_TRIES_MAX];
	bool unanswered; /* the newest join that has ended */
	struct store_op *leave_op;
	struct store_op *owners_op;
	lws_sorted_usec_list_t join_due;
	lws_sorted_usec_list_t owners_due;
	char members[PARTS_MAX][MEMBER_BYTES]; /* by partition */
	char (*held)[NAME_BYTES]; /* pools of this daemon */
	size_t held_count;
	int64_t owners_asked_us;
	bool leaving;
};

static int
parts_of(const struct owners *o)
{
	int parts = o->scheduler->boot.store_parts;

	return parts < 1 ? 1 : parts > PARTS_MAX ? PARTS_MAX : parts;
}

int
owners_part(const struct config *c, const char *pool, int parts)
{
	size_t i;
	int rank = 0;

	for (i = 0; i < c->pool_count; i++)
		rank += strcmp(c->pools[i].name, pool) < 0;
	return rank % parts;
}

static void join_due(lws_sorted_usec_list_t *sul);
static void owners_due(lws_sorted_usec_list_t *sul);

static void
schedule_join(struct owners *o, int64_t us)
{
	lws_sul_schedule(
	    o->scheduler->context, 0, &o->join_due, join_due, us > 0 ? us : 1);
}

static bool
join_under_way(const struct owners *o)
{
	int i;

	for (i = 0; i < JOIN_TRIES_MAX; i++) {
		if (o->tries[i].op != NULL)
			return true;
	}
	return false;
}

static void
cancel_joins(struct owners *o)
{
	int i;

	for (i = 0; i < JOIN_TRIES_MAX; i++) {
		store_op_cancel(o->tries[i].op);
		o->tries[i].op = NULL;
	}
}

static void
schedule_owners(struct owners *o, int ms)
{
	lws_sul_schedule(o->scheduler->context, 0, &o->owners_due, owners_due,
	    ms > 0 ? ms * US_PER_MS : 1);
}

static bool
part_held(const struct store_shares *shares, int part)
{
	size_t i;

	for (i = 0; i < shares->count; i++) {
		if (shares->list[i].part == part &&
		    strcmp(shares->list[i].topic, GROUP_TOPIC) == 0)
			return true;
	}
	return false;
}

/* Pools whose partition the group dealt to this daemon, when it was asked. */
static void
assign(
    struct owners *o, const struct store_shares *shares, int64_t asked_boot_us)
{
	const struct config *c = o->scheduler->config;
	size_t i, before = o->held_count;
	int part;

	free(o->held);
	o->held_count = 0;
	o->held = calloc(c->pool_count + 1, sizeof(*o->held));
	if (o->held == NULL)
		return;
	for (i = 0; i < c->pool_count; i++) {
		part = owners_part(c, c->pools[i].name, parts_of(o));
		if (part_held(shares, part))
			snprintf(o->held[o->held_count++], NAME_BYTES, "%s",
			    c->pools[i].name);
	}
	/* the duty of machines stands behind the pools */
	duty_assign(o->scheduler->duty,
	    !o->scheduler->stopping &&
		part_held(shares, (int)(c->pool_count % (size_t)parts_of(o))),
	    asked_boot_us);
	if (o->held_count != before)
		daemon_log(LOG_LEVEL_INFO, "owners",
		    "msg=\"the group deals pools\" generation=%lld pools=%zu "
		    "before=%zu",
		    (long long)shares->generation, o->held_count, before);
	shards_assign(o->scheduler->shards, (const char(*)[NAME_BYTES])o->held,
	    o->held_count, asked_boot_us);
}

static void
join_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct join_try *t = arg;
	struct owners *o = t->owners;
	struct store_shares shares;
	bool changed;

	(void)sent;
	t->op = NULL;
	if (status != 200 || store_join_parse(&shares, body, len) == -1) {
		if (!o->unanswered)
			daemon_log(LOG_LEVEL_WARN, "owners",
			    "msg=\"the group does not answer\" status=%d",
			    status);
		o->unanswered = true;
		return; /* the next try is due */
	}
	o->unanswered = false;
	cancel_joins(o);
	if (o->scheduler->config != NULL)
		assign(o, &shares, t->sent_boot_us);
	changed = shares.generation != o->generation;
	o->generation = shares.generation;
	/* what is not ours any more goes on with the next join */
	schedule_join(o,
	    join_pace_answered(
		&o->pace, sched_monotonic_us() - t->sent_us, changed));
	if (changed)
		schedule_owners(o, 0);
	store_shares_uninit(&shares);
}

static void
left_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct owners *o = arg;

	(void)status; /* the group drops a member that joins no more */
	(void)sent;
	(void)body;
	(void)len;
	o->leave_op = NULL;
}

static void
send_leave(struct owners *o)
{
	struct store_call c;

	store_leave_call(&c, GROUP, o->scheduler->member);
	store_op_cancel(o->leave_op);
	o->leave_op =
	    store_op_start(o->scheduler, &c, JOIN_TIMEOUT_MS, left_ended, o);
}

/* Gives the pools up, and then the place in the group. */
static void
step_back(struct owners *o)
{
	duty_assign(o->scheduler->duty, false, 0);
	shards_give_up_all(o->scheduler->shards, false);
	/* a join that is carried out late would undo the leave */
	if (!shards_none(o->scheduler->shards) || join_under_way(o)) {
		schedule_join(o, STEP_BACK_EVERY_MS * US_PER_MS);
		return;
	}
	o->joined = false;
	o->generation = 0;
	send_leave(o);
}

static void
join_due(lws_sorted_usec_list_t *sul)
{
	static const char topics[1][TOPIC_BYTES] = {GROUP_TOPIC};
	struct owners *o = lws_container_of(sul, struct owners, join_due);
	int ttl_min_ms = o->scheduler->boot.group_ttl_min_ms;
	struct join_opts j = {
	    .group = GROUP,
	    .member = o->scheduler->member,
	    .topics = topics,
	    .topic_count = 1,
	    .ttl_ms = MEMBER_TTL_MS > ttl_min_ms ? MEMBER_TTL_MS : ttl_min_ms,
	    .generation = o->generation,
	};
	struct join_try *t = &o->tries[o->pace.tries % JOIN_TRIES_MAX];
	struct store_call c;

	if (o->leaving)
		return;
	if (!candidacy_stands(&o->candidacy, sched_monotonic_us())) {
		if (o->joined)
			step_back(o);
		return;
	}
	o->joined = true;
	store_op_cancel(t->op); /* its answer is taken for lost */
	t->owners = o;
	t->sent_us = sched_monotonic_us();
	t->sent_boot_us = sched_boottime_us();
	store_join_call(&c, &j);
	t->op =
	    store_op_start(o->scheduler, &c, JOIN_TIMEOUT_MS, join_ended, t);
	schedule_join(o, join_pace_sent(&o->pace));
}

/* Small machines own pools only while no larger one does. */
static void
stand_or_step_back(struct owners *o, bool able_seen)
{
	bool stands;

	candidacy_heard(&o->candidacy, sched_monotonic_us(), able_seen);
	stands = candidacy_stands(&o->candidacy, sched_monotonic_us());
	if (o->leaving || stands == o->joined)
		return;
	daemon_log(LOG_LEVEL_INFO, "owners",
	    "msg=\"%s\" cores=%.2f link_mbps=%.0f able_seen=%d",
	    stands ? "no able member: stands in" : "steps back",
	    o->scheduler->boot.cores, o->scheduler->boot.link_mbps, able_seen);
	if (!join_under_way(o))
		schedule_join(o, 0); /* or when its answer is here */
}

static void
owners_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct owners *o = arg;
	struct store_shares shares;
	struct endpoint to;
	struct store_share *h;
	bool able, able_seen = false;
	size_t i;

	(void)sent;
	o->owners_op = NULL;
	schedule_owners(
	    o, o->candidacy.able ? OWNERS_EVERY_MS : STANDBY_EVERY_MS);
	if (status != 200 || store_owners_parse(&shares, body, len) == -1)
		return;
	for (i = 0; i < shares.count; i++) {
		h = &shares.list[i];
		if (strcmp(h->topic, GROUP_TOPIC) == 0 && h->part >= 0 &&
		    h->part < PARTS_MAX)
			snprintf(
			    o->members[h->part], MEMBER_BYTES, "%s", h->member);
		able_seen |= member_parse(h->member, to.addr, sizeof(to.addr),
				 &to.port, &able) &&
		    able;
	}
	store_shares_uninit(&shares);
	stand_or_step_back(o, able_seen);
}

static void
owners_due(lws_sorted_usec_list_t *sul)
{
	struct owners *o = lws_container_of(sul, struct owners, owners_due);
	struct store_call c;

	if (o->owners_op != NULL)
		return;
	o->owners_asked_us = sched_monotonic_us();
	store_owners_call(&c, GROUP);
	o->owners_op =
	    store_op_start(o->scheduler, &c, JOIN_TIMEOUT_MS, owners_ended, o);
	if (o->owners_op == NULL)
		schedule_owners(o, OWNERS_EVERY_MS);
}

bool
owners_of(
    const struct owners *o, const char *pool, struct endpoint *to, bool *self)
{
	const struct config *c = o->scheduler->config;
	const char *member;

	*self = false;
	if (c == NULL)
		return false;
	member = o->members[owners_part(c, pool, parts_of(o))];
	*self = strcmp(member, o->scheduler->member) == 0;
	return member_parse(
	    member, to->addr, sizeof(to->addr), &to->port, NULL);
}

bool
owners_stuck(const struct owners *o, const char *pool)
{
	const struct store_health *h = &o->scheduler->store_state;
	int64_t now = sched_monotonic_us();
	char topic[TOPIC_BYTES];

	store_jobs_topic(topic, sizeof(topic), pool);
	return store_health_unreachable(h, now) ||
	    store_health_topic_unreachable(h, GROUP, now) ||
	    store_health_topic_unreachable(h, topic, now);
}

void
owners_refresh(struct owners *o)
{
	int64_t ago_ms =
	    (sched_monotonic_us() - o->owners_asked_us) / US_PER_MS;

	if (o->owners_op == NULL)
		schedule_owners(o,
		    ago_ms >= OWNERS_PAUSE_MS ? 0
					      : OWNERS_PAUSE_MS - (int)ago_ms);
}

void
owners_config_changed(struct owners *o)
{
	if (!join_under_way(o) && !o->leaving)
		schedule_join(o, 0);
}

void
owners_leave(struct owners *o)
{
	if (o->leaving)
		return;
	o->leaving = true;
	lws_sul_cancel(&o->join_due);
	cancel_joins(o);
	if (!o->joined)
		return;
	send_leave(o);
}

struct owners *
owners_new(struct scheduler *s)
{
	struct machine_size size = {
	    .cores = s->boot.cores,
	    .link_mbps = s->boot.link_mbps,
	};
	struct owners *o;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return NULL;
	o->scheduler = s;
	candidacy_init(&o->candidacy, &size);
	member_format(
	    s->member, s->boot.ip, s->boot.peer_port, o->candidacy.able);
	schedule_join(o, 0);
	schedule_owners(o, OWNERS_FIRST_MS);
	return o;
}

void
owners_free(struct owners *o)
{
	if (o == NULL)
		return;
	lws_sul_cancel(&o->join_due);
	lws_sul_cancel(&o->owners_due);
	cancel_joins(o);
	store_op_cancel(o->leave_op);
	store_op_cancel(o->owners_op);
	free(o->held);
	free(o);
}
