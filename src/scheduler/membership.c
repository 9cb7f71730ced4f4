#include "membership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "candidacy.h"
#include "config_relay.h"
#include "controller.h"
#include "join_pace.h"
#include "shards.h"
#include "store_client.h"

#define GROUP_NAME "schedulers"
/* Its partitions stand for the pools, and one for the controller. */
#define GROUP_TOPIC "pools"
#define MEMBER_TTL_MS 2000 /* four join intervals: one or two may be lost */
#define GROUP_CALL_TIMEOUT_MS 900
/* A join beyond this number cancels the oldest in flight. */
#define JOINS_IN_FLIGHT_MAX 4
#define OWNERS_FIRST_READ_MS 500 /* all members have joined by then */
/* A new generation of the group causes a read at once in addition. */
#define OWNERS_READ_INTERVAL_MS 5000
/* Standby members send no joins, so no answer shows them a new generation. */
#define STANDBY_READ_INTERVAL_MS 1000
#define OWNERS_READ_SPACING_MS 200 /* least time between requested reads */
#define STEP_DOWN_RETRY_MS 50 /* until the writes of owned pools are stored */

struct join_attempt {
	struct membership *membership;
	struct store_op *op; /* NULL where no join is in flight */
	int64_t sent_us; /* monotonic */
	int64_t sent_boot_us; /* boot clock, which counts suspension */
};

struct membership {
	struct scheduler *scheduler;
	struct candidacy candidacy;
	bool joined; /* a join was sent, whether it was answered or not */
	int64_t generation; /* of the last answer to a join; 0 none */
	struct join_pace pace;
	struct join_attempt join_attempts[JOINS_IN_FLIGHT_MAX];
	bool join_failed; /* the last join that ended had no valid answer */
	struct store_op *leave_op;
	struct store_op *owners_op;
	lws_sorted_usec_list_t join_sul;
	lws_sorted_usec_list_t owners_sul;
	/* Member that owns each partition; "" unknown. */
	char partition_owners[GROUP_PARTITIONS_MAX][MEMBER_BYTES];
	char (*pools)[NAME_BYTES]; /* assigned to this daemon */
	size_t pool_count;
	int64_t owners_read_us; /* when the last read was sent */
	int64_t owners_read_boot_us; /* the same on the boot clock */
	/* When the read was sent that shows partition_owners; 0: never. */
	int64_t owners_known_boot_us;
	int64_t owners_generation; /* of partition_owners; 0: unknown */
	bool leaving;
};

static int
partition_count(const struct membership *m)
{
	int parts = m->scheduler->settings.store_partition_count;

	return parts < 1                   ? 1
	    : parts > GROUP_PARTITIONS_MAX ? GROUP_PARTITIONS_MAX
					   : parts;
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
schedule_join(struct membership *m, int64_t us)
{
	lws_sul_schedule(m->scheduler->context, 0, &m->join_sul, on_join_due,
	    us > 0 ? us : 1);
}

static bool
join_in_flight(const struct membership *m)
{
	int i;

	for (i = 0; i < JOINS_IN_FLIGHT_MAX; i++) {
		if (m->join_attempts[i].op != NULL)
			return true;
	}
	return false;
}

static void
cancel_joins(struct membership *m)
{
	int i;

	for (i = 0; i < JOINS_IN_FLIGHT_MAX; i++) {
		store_op_cancel(m->join_attempts[i].op);
		m->join_attempts[i].op = NULL;
	}
}

static void
schedule_owners_read(struct membership *m, int ms)
{
	lws_sul_schedule(m->scheduler->context, 0, &m->owners_sul,
	    on_owners_due, ms > 0 ? ms * US_PER_MS : 1);
}

static bool
has_partition(const struct store_assignments *assignments, int part)
{
	size_t i;

	for (i = 0; i < assignments->count; i++) {
		if (assignments->list[i].partition == part &&
		    strcmp(assignments->list[i].topic, GROUP_TOPIC) == 0)
			return true;
	}
	return false;
}

/*
 * Passes the pools whose partitions are assigned to this daemon to the shards.
 * "join_sent_boot_us" is when the answered join was sent.
 */
static void
apply_assignment(struct membership *m,
    const struct store_assignments *assignments, int64_t join_sent_boot_us)
{
	const struct config *c = m->scheduler->config;
	size_t i, before = m->pool_count;
	int part;

	free(m->pools);
	m->pool_count = 0;
	m->pools = calloc(c->pool_count + 1, sizeof(*m->pools));
	if (m->pools == NULL)
		return;
	for (i = 0; i < c->pool_count; i++) {
		part = membership_pool_partition(
		    c, c->pools[i].name, partition_count(m));
		if (has_partition(assignments, part))
			snprintf(m->pools[m->pool_count++], NAME_BYTES, "%s",
			    c->pools[i].name);
	}
	/* the controller's partition follows those of the pools */
	controller_assign(m->scheduler->controller,
	    !m->scheduler->stopping &&
		has_partition(assignments,
		    (int)(c->pool_count % (size_t)partition_count(m))),
	    join_sent_boot_us);
	if (m->pool_count != before)
		daemon_log(LOG_LEVEL_INFO, "owners",
		    "msg=\"the group changed the number of pools assigned to "
		    "this daemon\" generation=%lld pools=%zu "
		    "before=%zu",
		    (long long)assignments->generation, m->pool_count, before);
	shards_assign(m->scheduler->shards, (const char(*)[NAME_BYTES])m->pools,
	    m->pool_count, join_sent_boot_us);
}

static void
on_join_end(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct join_attempt *a = arg;
	struct membership *m = a->membership;
	struct store_assignments assignments;
	bool changed;

	(void)sent;
	a->op = NULL;
	if (status != 200 || store_join_parse(&assignments, body, len) == -1) {
		if (!m->join_failed)
			daemon_log(LOG_LEVEL_WARN, "owners",
			    "msg=\"join of the group failed or timed out; "
			    "retrying\" status=%d",
			    status);
		m->join_failed = true;
		return; /* the next attempt is scheduled already */
	}
	m->join_failed = false;
	cancel_joins(m);
	if (m->scheduler->config != NULL)
		apply_assignment(m, &assignments, a->sent_boot_us);
	changed = assignments.generation != m->generation;
	m->generation = assignments.generation;
	/*
	 * A join with the new generation acknowledges it; only then does the
	 * group assign partitions taken from this member to others.
	 */
	schedule_join(m,
	    join_pace_answered(
		&m->pace, sched_monotonic_us() - a->sent_us, changed));
	if (changed)
		schedule_owners_read(m, 0);
	store_assignments_uninit(&assignments);
}

static void
on_leave_end(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct membership *m = arg;

	(void)status; /* after a lost leave, the member's TTL expires */
	(void)sent;
	(void)body;
	(void)len;
	m->leave_op = NULL;
}

static void
send_leave(struct membership *m)
{
	struct store_call c;

	store_leave_call(&c, GROUP_NAME, m->scheduler->member);
	store_op_cancel(m->leave_op);
	m->leave_op = store_op_start(
	    m->scheduler, &c, GROUP_CALL_TIMEOUT_MS, on_leave_end, m);
}

/* Releases all pools, and leaves the group once their writes are stored. */
static void
step_down(struct membership *m)
{
	controller_assign(m->scheduler->controller, false, 0);
	shards_release_all(m->scheduler->shards, false);
	/* the store could apply a join in flight after the leave */
	if (!shards_empty(m->scheduler->shards) || join_in_flight(m)) {
		schedule_join(m, STEP_DOWN_RETRY_MS * US_PER_MS);
		return;
	}
	m->joined = false;
	m->generation = 0;
	send_leave(m);
}

static void
on_join_due(lws_sorted_usec_list_t *sul)
{
	static const char topics[1][TOPIC_BYTES] = {GROUP_TOPIC};
	struct membership *m =
	    lws_container_of(sul, struct membership, join_sul);
	int ttl_min_ms = m->scheduler->settings.group_ttl_min_ms;
	struct store_join_opts j = {
	    .group = GROUP_NAME,
	    .member = m->scheduler->member,
	    .topics = topics,
	    .topic_count = 1,
	    .ttl_ms = MEMBER_TTL_MS > ttl_min_ms ? MEMBER_TTL_MS : ttl_min_ms,
	    .generation = m->generation,
	};
	struct join_attempt *a =
	    &m->join_attempts[m->pace.attempts % JOINS_IN_FLIGHT_MAX];
	struct store_call c;

	if (m->leaving)
		return;
	if (!candidacy_joins_group(&m->candidacy, sched_monotonic_us())) {
		if (m->joined)
			step_down(m);
		return;
	}
	m->joined = true;
	store_op_cancel(a->op); /* the oldest attempt, or NULL */
	a->membership = m;
	a->sent_us = sched_monotonic_us();
	a->sent_boot_us = sched_boottime_us();
	store_join_call(&c, &j);
	a->op = store_op_start(
	    m->scheduler, &c, GROUP_CALL_TIMEOUT_MS, on_join_end, a);
	schedule_join(m, join_pace_sent(&m->pace));
}

/*
 * Joins or leaves the group after a read of its members: machines below the
 * size limits own pools only while no eligible member is in the group.
 */
static void
update_candidacy(struct membership *m, bool eligible_seen)
{
	bool joins;

	candidacy_observe(&m->candidacy, sched_monotonic_us(), eligible_seen);
	joins = candidacy_joins_group(&m->candidacy, sched_monotonic_us());
	if (m->leaving || joins == m->joined)
		return;
	daemon_log(LOG_LEVEL_INFO, "owners",
	    "msg=\"%s\" cores=%.2f link_mbps=%.0f able_seen=%d",
	    joins ? "no eligible member: standby joins the group"
		  : "an eligible member is back: standby leaves the group",
	    m->scheduler->settings.cores, m->scheduler->settings.link_mbps,
	    eligible_seen);
	if (!join_in_flight(m))
		schedule_join(m,
		    0); /* else the answer in flight schedules the next join */
}

/* Owners are peers to ask for the configuration, also once replaced. */
static void
set_owner(struct membership *m, int part, const char *member)
{
	struct endpoint at;

	snprintf(m->partition_owners[part], MEMBER_BYTES, "%s", member);
	if (member_parse(member, at.addr, sizeof(at.addr), &at.port, NULL))
		config_relay_add_peer(m->scheduler->relay, &at);
}

static void
on_owners_read(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct membership *m = arg;
	struct store_assignments assignments;
	struct endpoint to;
	struct store_assignment *a;
	bool eligible, eligible_seen = false, newer;
	size_t i;

	(void)sent;
	m->owners_op = NULL;
	schedule_owners_read(m,
	    m->candidacy.eligible ? OWNERS_READ_INTERVAL_MS
				  : STANDBY_READ_INTERVAL_MS);
	if (status != 200 || store_owners_parse(&assignments, body, len) == -1)
		return;
	/* a peer may have read them since */
	newer = m->owners_read_boot_us >= m->owners_known_boot_us;
	for (i = 0; i < assignments.count; i++) {
		a = &assignments.list[i];
		if (newer && strcmp(a->topic, GROUP_TOPIC) == 0 &&
		    a->partition >= 0 && a->partition < GROUP_PARTITIONS_MAX)
			set_owner(m, a->partition, a->member);
		eligible_seen |= member_parse(a->member, to.addr,
				     sizeof(to.addr), &to.port, &eligible) &&
		    eligible;
	}
	if (newer) {
		m->owners_known_boot_us = m->owners_read_boot_us;
		m->owners_generation = assignments.generation;
	}
	store_assignments_uninit(&assignments);
	update_candidacy(m, eligible_seen);
}

static void
on_owners_due(lws_sorted_usec_list_t *sul)
{
	struct membership *m =
	    lws_container_of(sul, struct membership, owners_sul);
	struct store_call c;

	if (m->owners_op != NULL)
		return;
	m->owners_read_us = sched_monotonic_us();
	m->owners_read_boot_us = sched_boottime_us();
	store_owners_call(&c, GROUP_NAME);
	m->owners_op = store_op_start(
	    m->scheduler, &c, GROUP_CALL_TIMEOUT_MS, on_owners_read, m);
	if (m->owners_op == NULL)
		schedule_owners_read(m, OWNERS_READ_INTERVAL_MS);
}

bool
membership_owner_of(const struct membership *m, const char *pool,
    struct endpoint *to, bool *self)
{
	const struct config *c = m->scheduler->config;
	const char *member;

	*self = false;
	if (c == NULL)
		return false;
	member = m->partition_owners[membership_pool_partition(
	    c, pool, partition_count(m))];
	*self = strcmp(member, m->scheduler->member) == 0;
	return member_parse(
	    member, to->addr, sizeof(to->addr), &to->port, NULL);
}

bool
membership_takeover_blocked(const struct membership *m, const char *pool)
{
	const struct store_health *h = &m->scheduler->store_state;
	int64_t now = sched_monotonic_us();
	char topic[TOPIC_BYTES];

	store_jobs_topic(topic, sizeof(topic), pool);
	return store_health_unreachable(h, now) ||
	    store_health_topic_unreachable(h, GROUP_NAME, now) ||
	    store_health_topic_unreachable(h, topic, now);
}

void
membership_refresh_owners(struct membership *m)
{
	int64_t ago_ms = (sched_monotonic_us() - m->owners_read_us) / US_PER_MS;

	if (m->owners_op == NULL)
		schedule_owners_read(m,
		    ago_ms >= OWNERS_READ_SPACING_MS
			? 0
			: OWNERS_READ_SPACING_MS - (int)ago_ms);
}

void
membership_known_owners(const struct membership *m, struct group_owners *out)
{
	int64_t age_us = sched_boottime_us() - m->owners_known_boot_us;
	size_t i;

	out->generation = m->owners_generation;
	out->age_ms = m->owners_known_boot_us != 0
	    ? (age_us + US_PER_MS - 1) / US_PER_MS
	    : -1;
	out->count = 0;
	for (i = 0; i < GROUP_PARTITIONS_MAX; i++) {
		memcpy(out->members[i], m->partition_owners[i], MEMBER_BYTES);
		if (out->members[i][0] != '\0')
			out->count = i + 1;
	}
}

void
membership_adopt_owners(
    struct membership *m, const struct group_owners *o, int64_t read_boot_us)
{
	size_t i;

	if (read_boot_us <= m->owners_known_boot_us ||
	    (o->generation != 0 && o->generation < m->owners_generation))
		return;
	for (i = 0; i < o->count; i++) {
		if (o->members[i][0] != '\0')
			set_owner(m, (int)i, o->members[i]);
	}
	m->owners_known_boot_us = read_boot_us;
	m->owners_generation = o->generation;
}

void
membership_config_changed(struct membership *m)
{
	if (!join_in_flight(m) && !m->leaving)
		schedule_join(m, 0);
}

void
membership_leave(struct membership *m)
{
	if (m->leaving)
		return;
	m->leaving = true;
	lws_sul_cancel(&m->join_sul);
	cancel_joins(m);
	if (!m->joined)
		return;
	send_leave(m);
}

struct membership *
membership_new(struct scheduler *s)
{
	struct machine_size size = {
	    .cores = s->settings.cores,
	    .link_mbps = s->settings.link_mbps,
	};
	struct membership *m;

	m = calloc(1, sizeof(*m));
	if (m == NULL)
		return NULL;
	m->scheduler = s;
	candidacy_init(&m->candidacy, &size);
	member_format(s->member, s->settings.ip, s->settings.peer_port,
	    m->candidacy.eligible);
	schedule_join(m, 0);
	schedule_owners_read(m, OWNERS_FIRST_READ_MS);
	return m;
}

void
membership_free(struct membership *m)
{
	if (m == NULL)
		return;
	lws_sul_cancel(&m->join_sul);
	lws_sul_cancel(&m->owners_sul);
	cancel_joins(m);
	store_op_cancel(m->leave_op);
	store_op_cancel(m->owners_op);
	free(m->pools);
	free(m);
}
