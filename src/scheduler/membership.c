#include "membership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "candidacy.h"
#include "controller.h"
#include "join_pace.h"
#include "shards.h"
#include "store_client.h"

#define GROUP_NAME "schedulers"
#define GROUP_TOPIC "pools" /* its partitions stand for pools */
#define MEMBER_TTL_MS 2000 /* four joins: one or two may be lost */
#define JOIN_TIMEOUT_MS 900
#define JOINS_IN_FLIGHT_MAX \
	4 /* under way; the oldest is given up for a fifth */
#define OWNERS_FIRST_READ_MS 500 /* the members have joined by then */
#define OWNERS_READ_INTERVAL_MS \
	5000 /* at least; at once when the group changes */
#define STANDBY_READ_INTERVAL_MS \
	1000 /* where the group's changes are not heard */
#define OWNERS_READ_SPACING_MS 200 /* between two that were asked for */
#define STEP_DOWN_RETRY_MS 50 /* until what is owned has been written */
#define PARTITIONS_MAX 64

struct join_attempt {
	struct membership *membership;
	struct store_op *op; /* NULL once it has ended */
	int64_t sent_us;
	int64_t sent_boot_us;
};

struct membership {
	struct scheduler *scheduler;
	struct candidacy candidacy;
	bool joined; /* or may be, by a join without an answer */
	int64_t generation;
	struct join_pace pace;
	struct join_attempt join_attempts[JOINS_IN_FLIGHT_MAX];
	bool join_failed; /* the newest join that has ended */
	struct store_op *leave_op;
	struct store_op *owners_op;
	lws_sorted_usec_list_t join_sul;
	lws_sorted_usec_list_t owners_sul;
	char partition_owners[PARTITIONS_MAX][MEMBER_BYTES]; /* by partition */
	char (*pools)[NAME_BYTES]; /* pools of this daemon */
	size_t pool_count;
	int64_t owners_read_us;
	bool leaving;
};

static int
partition_count(const struct membership *o)
{
	int parts = o->scheduler->boot.store_parts;

	return parts < 1 ? 1 : parts > PARTITIONS_MAX ? PARTITIONS_MAX : parts;
}

int
membership_pool_partition(const struct config *c, const char *pool, int parts)
{
	size_t i;
	int rank = 0;

	for (i = 0; i < c->pool_count; i++)
		rank += strcmp(c->pools[i].name, pool) < 0;
	return rank % parts;
}

static void on_join_due(lws_sorted_usec_list_t *sul);
static void on_owners_due(lws_sorted_usec_list_t *sul);

static void
schedule_join(struct membership *o, int64_t us)
{
	lws_sul_schedule(o->scheduler->context, 0, &o->join_sul, on_join_due,
	    us > 0 ? us : 1);
}

static bool
join_in_flight(const struct membership *o)
{
	int i;

	for (i = 0; i < JOINS_IN_FLIGHT_MAX; i++) {
		if (o->join_attempts[i].op != NULL)
			return true;
	}
	return false;
}

static void
cancel_joins(struct membership *o)
{
	int i;

	for (i = 0; i < JOINS_IN_FLIGHT_MAX; i++) {
		store_op_cancel(o->join_attempts[i].op);
		o->join_attempts[i].op = NULL;
	}
}

static void
schedule_owners_read(struct membership *o, int ms)
{
	lws_sul_schedule(o->scheduler->context, 0, &o->owners_sul,
	    on_owners_due, ms > 0 ? ms * US_PER_MS : 1);
}

static bool
has_partition(const struct store_shares *shares, int part)
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
apply_assignment(struct membership *o, const struct store_shares *shares,
    int64_t asked_boot_us)
{
	const struct config *c = o->scheduler->config;
	size_t i, before = o->pool_count;
	int part;

	free(o->pools);
	o->pool_count = 0;
	o->pools = calloc(c->pool_count + 1, sizeof(*o->pools));
	if (o->pools == NULL)
		return;
	for (i = 0; i < c->pool_count; i++) {
		part = membership_pool_partition(
		    c, c->pools[i].name, partition_count(o));
		if (has_partition(shares, part))
			snprintf(o->pools[o->pool_count++], NAME_BYTES, "%s",
			    c->pools[i].name);
	}
	/* the duty of machines stands behind the pools */
	controller_assign(o->scheduler->controller,
	    !o->scheduler->stopping &&
		has_partition(
		    shares, (int)(c->pool_count % (size_t)partition_count(o))),
	    asked_boot_us);
	if (o->pool_count != before)
		daemon_log(LOG_LEVEL_INFO, "owners",
		    "msg=\"the group deals pools\" generation=%lld pools=%zu "
		    "before=%zu",
		    (long long)shares->generation, o->pool_count, before);
	shards_assign(o->scheduler->shards, (const char(*)[NAME_BYTES])o->pools,
	    o->pool_count, asked_boot_us);
}

static void
on_join_end(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct join_attempt *t = arg;
	struct membership *o = t->membership;
	struct store_shares shares;
	bool changed;

	(void)sent;
	t->op = NULL;
	if (status != 200 || store_join_parse(&shares, body, len) == -1) {
		if (!o->join_failed)
			daemon_log(LOG_LEVEL_WARN, "owners",
			    "msg=\"the group does not answer\" status=%d",
			    status);
		o->join_failed = true;
		return; /* the next try is due */
	}
	o->join_failed = false;
	cancel_joins(o);
	if (o->scheduler->config != NULL)
		apply_assignment(o, &shares, t->sent_boot_us);
	changed = shares.generation != o->generation;
	o->generation = shares.generation;
	/* what is not ours any more goes on with the next join */
	schedule_join(o,
	    join_pace_answered(&o->pace, sched_now_us() - t->sent_us, changed));
	if (changed)
		schedule_owners_read(o, 0);
	store_shares_uninit(&shares);
}

static void
on_leave_end(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct membership *o = arg;

	(void)status; /* the group drops a member that joins no more */
	(void)sent;
	(void)body;
	(void)len;
	o->leave_op = NULL;
}

static void
send_leave(struct membership *o)
{
	struct store_call c;

	store_leave_call(&c, GROUP_NAME, o->scheduler->member);
	store_op_cancel(o->leave_op);
	o->leave_op =
	    store_send(o->scheduler, &c, JOIN_TIMEOUT_MS, on_leave_end, o);
}

/* Gives the pools up, and then the place in the group. */
static void
step_down(struct membership *o)
{
	controller_assign(o->scheduler->controller, false, 0);
	shards_release_all(o->scheduler->shards, false);
	/* a join that is carried out late would undo the leave */
	if (!shards_empty(o->scheduler->shards) || join_in_flight(o)) {
		schedule_join(o, STEP_DOWN_RETRY_MS * US_PER_MS);
		return;
	}
	o->joined = false;
	o->generation = 0;
	send_leave(o);
}

static void
on_join_due(lws_sorted_usec_list_t *sul)
{
	static const char topics[1][TOPIC_BYTES] = {GROUP_TOPIC};
	struct membership *o =
	    lws_container_of(sul, struct membership, join_sul);
	int ttl_min_ms = o->scheduler->boot.group_ttl_min_ms;
	struct join_opts j = {
	    .group = GROUP_NAME,
	    .member = o->scheduler->member,
	    .topics = topics,
	    .topic_count = 1,
	    .ttl_ms = MEMBER_TTL_MS > ttl_min_ms ? MEMBER_TTL_MS : ttl_min_ms,
	    .generation = o->generation,
	};
	struct join_attempt *t =
	    &o->join_attempts[o->pace.attempts % JOINS_IN_FLIGHT_MAX];
	struct store_call c;

	if (o->leaving)
		return;
	if (!candidacy_joins_group(&o->candidacy, sched_now_us())) {
		if (o->joined)
			step_down(o);
		return;
	}
	o->joined = true;
	store_op_cancel(t->op); /* its answer is taken for lost */
	t->membership = o;
	t->sent_us = sched_now_us();
	t->sent_boot_us = sched_boot_us();
	store_join_call(&c, &j);
	t->op = store_send(o->scheduler, &c, JOIN_TIMEOUT_MS, on_join_end, t);
	schedule_join(o, join_pace_sent(&o->pace));
}

/* Small machines own pools only while no larger one does. */
static void
update_candidacy(struct membership *o, bool able_seen)
{
	bool stands;

	candidacy_observe(&o->candidacy, sched_now_us(), able_seen);
	stands = candidacy_joins_group(&o->candidacy, sched_now_us());
	if (o->leaving || stands == o->joined)
		return;
	daemon_log(LOG_LEVEL_INFO, "owners",
	    "msg=\"%s\" cores=%.2f link_mbps=%.0f able_seen=%d",
	    stands ? "no able member: stands in" : "steps back",
	    o->scheduler->boot.cores, o->scheduler->boot.link_mbps, able_seen);
	if (!join_in_flight(o))
		schedule_join(o, 0); /* or when its answer is here */
}

static void
on_owners_read(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct membership *o = arg;
	struct store_shares shares;
	struct endpoint to;
	struct store_share *h;
	bool able, able_seen = false;
	size_t i;

	(void)sent;
	o->owners_op = NULL;
	schedule_owners_read(o,
	    o->candidacy.eligible ? OWNERS_READ_INTERVAL_MS
				  : STANDBY_READ_INTERVAL_MS);
	if (status != 200 || store_owners_parse(&shares, body, len) == -1)
		return;
	for (i = 0; i < shares.count; i++) {
		h = &shares.list[i];
		if (strcmp(h->topic, GROUP_TOPIC) == 0 && h->part >= 0 &&
		    h->part < PARTITIONS_MAX)
			snprintf(o->partition_owners[h->part], MEMBER_BYTES,
			    "%s", h->member);
		able_seen |= member_parse(h->member, to.addr, sizeof(to.addr),
				 &to.port, &able) &&
		    able;
	}
	store_shares_uninit(&shares);
	update_candidacy(o, able_seen);
}

static void
on_owners_due(lws_sorted_usec_list_t *sul)
{
	struct membership *o =
	    lws_container_of(sul, struct membership, owners_sul);
	struct store_call c;

	if (o->owners_op != NULL)
		return;
	o->owners_read_us = sched_now_us();
	store_owners_call(&c, GROUP_NAME);
	o->owners_op =
	    store_send(o->scheduler, &c, JOIN_TIMEOUT_MS, on_owners_read, o);
	if (o->owners_op == NULL)
		schedule_owners_read(o, OWNERS_READ_INTERVAL_MS);
}

bool
membership_owner_of(const struct membership *o, const char *pool,
    struct endpoint *to, bool *self)
{
	const struct config *c = o->scheduler->config;
	const char *member;

	*self = false;
	if (c == NULL)
		return false;
	member = o->partition_owners[membership_pool_partition(
	    c, pool, partition_count(o))];
	*self = strcmp(member, o->scheduler->member) == 0;
	return member_parse(
	    member, to->addr, sizeof(to->addr), &to->port, NULL);
}

bool
membership_takeover_blocked(const struct membership *o, const char *pool)
{
	const struct store_health *h = &o->scheduler->store;
	int64_t now = sched_now_us();
	char topic[TOPIC_BYTES];

	store_jobs_topic(topic, sizeof(topic), pool);
	return store_health_lost(h, now) ||
	    store_health_topic_lost(h, GROUP_NAME, now) ||
	    store_health_topic_lost(h, topic, now);
}

void
membership_refresh_owners(struct membership *o)
{
	int64_t ago_ms = (sched_now_us() - o->owners_read_us) / US_PER_MS;

	if (o->owners_op == NULL)
		schedule_owners_read(o,
		    ago_ms >= OWNERS_READ_SPACING_MS
			? 0
			: OWNERS_READ_SPACING_MS - (int)ago_ms);
}

void
membership_config_changed(struct membership *o)
{
	if (!join_in_flight(o) && !o->leaving)
		schedule_join(o, 0);
}

void
membership_leave(struct membership *o)
{
	if (o->leaving)
		return;
	o->leaving = true;
	lws_sul_cancel(&o->join_sul);
	cancel_joins(o);
	if (!o->joined)
		return;
	send_leave(o);
}

struct membership *
membership_new(struct scheduler *s)
{
	struct machine_size size = {
	    .cores = s->boot.cores,
	    .link_mbps = s->boot.link_mbps,
	};
	struct membership *o;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return NULL;
	o->scheduler = s;
	candidacy_init(&o->candidacy, &size);
	member_format(
	    s->member, s->boot.ip, s->boot.peer_port, o->candidacy.eligible);
	schedule_join(o, 0);
	schedule_owners_read(o, OWNERS_FIRST_READ_MS);
	return o;
}

void
membership_free(struct membership *o)
{
	if (o == NULL)
		return;
	lws_sul_cancel(&o->join_sul);
	lws_sul_cancel(&o->owners_sul);
	cancel_joins(o);
	store_op_cancel(o->leave_op);
	store_op_cancel(o->owners_op);
	free(o->pools);
	free(o);
}
