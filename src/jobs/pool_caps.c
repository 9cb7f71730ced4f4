/*
 * Shares of accounts' caps: what a pool's tasks may occupy.  The stored record
 * of a share is an upper bound of what this owner may run: a higher share is
 * used once its record is stored, and the record of a lower one is written
 * once what runs fits it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

/* Lowering by less is rounding, and not worth a record of an idle account. */
#define ROUNDING_MAX 1

/* The jobs of an account that was removed keep the share that they have. */
struct account_cap
account_cap_now(const struct pool_account *a)
{
	if (a->configured || account_capped(&a->settings))
		return a->settings.cap;
	return a->share.stored.cap;
}

static int64_t
minimum(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t
account_start_limit(
    const struct pool_account *a, const struct account_cap *cap, int d)
{
	const struct account_share *s = &a->share;
	int64_t limit = cap_share_limit(&s->stored, cap, d);

	if (s->written_serial != 0)
		limit = minimum(limit, cap_share_limit(&s->written, cap, d));
	if (cap_get(&s->target.cap, d) > 0)
		limit = minimum(limit, cap_share_limit(&s->target, cap, d));
	return limit;
}

struct account_cap
step_spec_cap_size(const struct step_spec *s)
{
	return (struct account_cap){
	    .cpu_milli = s->cpu_milli,
	    .memory_mb = s->memory_mb,
	    .accelerators = s->accelerators,
	};
}

bool
caps_allow_starts(const struct job_step *s, unsigned count)
{
	struct pool_account *a = s->occurrence->job->account;
	struct account_cap cap, size;
	int64_t used, limit;
	int d;

	if (a == NULL)
		return true;
	cap = account_cap_now(a);
	size = step_spec_cap_size(s->spec);
	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&cap, d) == 0 || cap_get(&size, d) == 0)
			continue;
		limit = account_start_limit(a, &cap, d);
		used = cap_get(&a->usage, d) + cap_get(&a->share.unplaced, d);
		if (used + count * cap_get(&size, d) > limit) {
			a->share.blocked = true;
			return false;
		}
	}
	return true;
}

bool
caps_allow_start(const struct pool *p, const struct task *t)
{
	(void)p;
	return caps_allow_starts(t->step, 1);
}

bool
caps_hold_back(const struct job *j)
{
	return j->account != NULL && j->account->share.blocked;
}

double
caps_demand_factor(const struct pool_account *a)
{
	struct account_cap cap = account_cap_now(a);
	double factor = 1, part;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&cap, d) == 0 || cap_get(&a->share.need, d) == 0)
			continue;
		part = (double)account_start_limit(a, &cap, d) /
		    (double)cap_get(&a->share.need, d);
		factor = part < factor ? part : factor;
	}
	return factor;
}

const char *
caps_submit_refusal(const struct pool *p, const struct pool_event *ev)
{
	const struct job_spec *spec = ev->u.submit.spec;
	const struct pool_account *a;
	const struct step_spec *s;
	struct account_cap cap, size;
	int64_t tasks;
	size_t i;
	int d;

	HASH_FIND_STR(p->accounts, ev->u.submit.account, a);
	if (a == NULL)
		return NULL;
	cap = account_cap_now(a);
	for (i = 0; i < spec->step_count; i++) {
		s = &spec->steps[i];
		size = step_spec_cap_size(s);
		tasks = step_spec_unit_tasks(s);
		for (d = 0; d < CAP_DIMENSIONS; d++) {
			if (cap_get(&cap, d) > 0 &&
			    tasks * cap_get(&size, d) > cap_get(&cap, d))
				return s->gang ? "gang-over-cap"
					       : "task-over-cap";
		}
	}
	return NULL;
}

/* The newest record of the share, stored or not. */
static const struct cap_share *
newest_record(const struct account_share *s)
{
	return s->written_serial != 0 ? &s->written : &s->stored;
}

/*
 * The share that the pool is to have: as proposed, else as recorded, else the
 * fixed part.
 */
static struct cap_share
wanted_share(const struct pool *p, const struct pool_account *a)
{
	struct account_cap cap = account_cap_now(a);
	struct cap_share want = *newest_record(&a->share);
	struct cap_share fixed = cap_share_fixed(&cap, p->caps.fixed_divisor);
	const struct cap_share *from;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&a->share.target.cap, d) > 0)
			from = &a->share.target;
		else if (cap_get(&want.cap, d) == 0)
			from = &fixed;
		else
			continue;
		*cap_at(&want.share, d) = cap_get(&from->share, d);
		*cap_at(&want.cap, d) = cap_get(&from->cap, d);
	}
	return want;
}

struct cap_share
caps_held(const struct pool *p, const struct pool_account *a)
{
	const struct account_share *s = &a->share;
	struct cap_share held = s->stored;

	(void)p;
	if (s->written_serial != 0)
		cap_share_raise_to(&held, &s->written);
	cap_share_raise_to(&held, &s->target);
	return held;
}

/*
 * Scales the share to a lowered cap, also if the cap is raised again before a
 * record says so.
 */
static void
scale_to_cap(struct pool_account *a)
{
	struct cap_share *target = &a->share.target;
	const struct cap_share *from;
	int64_t cap;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		cap = cap_get(&a->settings.cap, d);
		from = cap_get(&target->cap, d) > 0 ? target
						    : newest_record(&a->share);
		if (cap == 0 || cap >= cap_get(&from->cap, d))
			continue;
		*cap_at(&target->share, d) = cap_scale(
		    cap_get(&from->share, d), cap, cap_get(&from->cap, d));
		*cap_at(&target->cap, d) = cap;
	}
}

void
caps_mark_changed(struct pool *p, struct pool_account *a)
{
	a->share.revision = ++p->caps.revision;
}

void
caps_track(struct pool *p, struct pool_account *a)
{
	struct account_cap cap = account_cap_now(a);

	p->caps.update_due = true;
	if (a->share.tracked ||
	    (cap.cpu_milli == 0 && cap.memory_mb == 0 && cap.accelerators == 0))
		return;
	a->share.tracked = true;
	LIST_INSERT_HEAD(&p->caps.accounts, a, share.entries);
}

void
caps_settings_changed(struct pool *p, struct pool_account *a)
{
	if (a->active_jobs > 0)
		caps_track(p, a);
	if (!a->share.tracked)
		return;
	p->caps.update_due = true;
	scale_to_cap(a);
	caps_mark_changed(p, a);
}

/*
 * The share of one dimension for the next record: a raise if the account has
 * jobs here, a reduction once what runs fits it.
 */
static bool
next_dimension(const struct pool_account *a, const struct cap_share *want,
    struct cap_share *next, int d)
{
	struct account_cap cap = account_cap_now(a);
	int64_t share = cap_get(&want->share, d), from = cap_get(&want->cap, d);
	int64_t old, used;

	if (from == 0 ||
	    (share == cap_get(&next->share, d) &&
		from == cap_get(&next->cap, d)))
		return false;
	old = cap_share_held(next, &want->cap, d);
	if (share >= old) {
		if (a->active_jobs == 0 || (share == 0 && old == 0))
			return false;
	} else {
		used = cap_get(&a->usage, d) + cap_get(&a->share.unplaced, d);
		if (used > cap_share_limit(want, &cap, d) ||
		    (a->active_jobs == 0 && d != CAP_ACCELERATORS &&
			old - share <= ROUNDING_MAX))
			return false;
	}
	*cap_at(&next->share, d) = share;
	*cap_at(&next->cap, d) = from;
	return true;
}

static void
write_share(struct pool *p, struct pool_account *a)
{
	struct buf *value = share_record_encode(&a->share.written);
	const struct account_cap *c = &a->share.written.share;
	char key[JOB_KEY_BYTES];

	if (value == NULL)
		abort(); /* the allocator counts on the record */
	share_record_key(key, a->settings.name);
	fx_write(p, key, value);
	a->share.written_serial = p->write_serial;
	caps_mark_changed(p, a);
	fx_log(p, LOG_LEVEL_INFO,
	    "msg=\"share of an account's cap changes\" account=%s cpu=%lld "
	    "memory=%lld accelerators=%lld used_cpu=%lld unplaced_cpu=%lld "
	    "jobs=%zu controller=%lld",
	    a->settings.name, (long long)c->cpu_milli, (long long)c->memory_mb,
	    (long long)c->accelerators, (long long)a->usage.cpu_milli,
	    (long long)a->share.unplaced.cpu_milli, a->active_jobs,
	    (long long)p->caps.controller);
}

static void
update_share(struct pool *p, struct pool_account *a)
{
	struct account_share *s = &a->share;
	struct cap_share want, next;
	bool changes = false;
	int d;

	if (s->written_serial != 0 && s->written_serial <= p->stored_serial) {
		s->stored = s->written;
		s->written_serial = 0;
		p->placement_due = true;
		caps_mark_changed(p, a);
	}
	if (s->written_serial != 0) /* one record at a time */
		return;
	want = wanted_share(p, a);
	next = s->stored;
	for (d = 0; d < CAP_DIMENSIONS; d++)
		changes |= next_dimension(a, &want, &next, d);
	if (!changes)
		return;
	s->written = next;
	write_share(p, a);
}

void
caps_update(struct pool *p)
{
	struct pool_account *a;

	p->caps.update_due = false;
	p->caps.updated_us = p->now_us;
	caps_count_unplaced(p);
	LIST_FOREACH(a, &p->caps.accounts, share.entries) {
		update_share(p, a);
		a->share.blocked = false;
	}
}

int
pool_load_cap_record(struct pool *p, const char *key, const void *data,
    size_t len, struct err *e)
{
	char name[NAME_BYTES];
	struct pool_account *a;
	struct cap_share s;

	if (strcmp(key, KEY_CAP_CONTROLLER) == 0)
		return cap_controller_decode(&p->caps.controller, data, len, e);
	if (share_record_decode(&s, data, len, e) == -1)
		return -1;
	if (!share_key_account(key, name))
		return err_set(e, ERR_PROTOCOL, 0,
		    "check which processes write to the pool's topic",
		    "%s is no key of an account's share", key);
	a = pool_account_get(p, name);
	a->share.stored = s;
	if (!a->share.tracked)
		LIST_INSERT_HEAD(&p->caps.accounts, a, share.entries);
	a->share.tracked = true;
	caps_mark_changed(p, a);
	return 0;
}
