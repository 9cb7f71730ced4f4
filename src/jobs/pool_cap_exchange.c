/* Proposals of the allocator to this pool, and the reports on its shares. */
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

/* A change of what an account needs is reported from this part of its cap. */
#define NEED_STEPS 16

/*
 * Stores the fence of a controller that has not proposed shares before, so
 * that also the next owner drops proposals of its predecessors.
 */
static void
note_controller(struct pool *p, int64_t controller)
{
	struct buf *value = cap_controller_encode(controller);

	if (value == NULL)
		abort(); /* an earlier controller could propose shares */
	p->caps.controller = controller;
	p->caps.number = 0;
	fx_write(p, KEY_CAP_CONTROLLER, value);
	p->caps.controller_serial = p->write_serial;
}

static void
apply_proposal(struct pool *p, const struct cap_proposal *r)
{
	struct pool_account *a = pool_account_get(p, r->account);
	int d;

	if (a == NULL)
		return;
	caps_track(p, a);
	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&r->share.cap, d) == 0)
			continue;
		*cap_at(&a->share.target.share, d) =
		    cap_get(&r->share.share, d);
		*cap_at(&a->share.target.cap, d) = cap_get(&r->share.cap, d);
	}
	caps_mark_changed(p, a);
}

void
caps_apply_request(struct pool *p, const struct cap_request *r)
{
	size_t i;

	if (r->controller < p->caps.controller || r->controller <= 0)
		return;
	if (r->controller > p->caps.controller)
		note_controller(p, r->controller);
	if (r->number <= p->caps.number)
		return;
	p->caps.number = r->number;
	if (r->owner != p->opts.fence)
		return;
	if (r->fixed_divisor > 0)
		p->caps.fixed_divisor = r->fixed_divisor;
	for (i = 0; i < r->count; i++)
		apply_proposal(p, &r->list[i]);
	p->caps.update_due = p->placement_due = true;
}

static void
raise_to(struct account_cap *to, const struct account_cap *c, int64_t times)
{
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (times * cap_get(c, d) > cap_get(to, d))
			*cap_at(to, d) = times * cap_get(c, d);
	}
}

static void
count_step(struct account_share *share, const struct job_step *s)
{
	int64_t waiting =
	    (int64_t)s->spec->task_count - s->done_count - s->placed_count;
	struct account_cap size = step_spec_cap_size(s->spec);
	int d;

	if (!step_has_waiting_tasks(s))
		return;
	for (d = 0; d < CAP_DIMENSIONS; d++)
		*cap_at(&share->need, d) += waiting * cap_get(&size, d);
	raise_to(&share->unit, &size, step_spec_unit_tasks(s->spec));
}

void
caps_count_needs(struct pool *p)
{
	struct occurrence *o;
	struct pool_account *a;
	struct job *j;
	size_t i;

	if (LIST_EMPTY(&p->caps.accounts))
		return;
	LIST_FOREACH(a, &p->caps.accounts, share.entries) {
		a->share.need = a->usage;
		cap_add(&a->share.need, &a->share.unplaced, 1);
		memset(&a->share.unit, 0, sizeof(a->share.unit));
	}
	TAILQ_FOREACH(j, &p->active, entries) {
		if (j->account == NULL || !j->account->share.tracked ||
		    job_final(j))
			continue;
		LIST_FOREACH(o, &j->occurrences, entries) {
			for (i = 0; i < j->spec->step_count; i++)
				count_step(&j->account->share, &o->steps[i]);
		}
	}
}

static bool
account_lacks(const struct pool_account *a)
{
	struct account_cap cap = account_cap_now(a);
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		if (cap_get(&a->share.need, d) >
		    account_start_limit(a, &cap, d))
			return true;
	}
	return false;
}

/*
 * The account lacks share now or does so no longer, or needs a step more or
 * less.  What is within the fixed part is the pool's in any case.
 */
static bool
need_changed(const struct pool *p, const struct pool_account *a)
{
	const struct account_share *s = &a->share;
	struct account_cap cap = account_cap_now(a);
	struct cap_share fixed = cap_share_fixed(&cap, p->caps.fixed_divisor);
	int64_t now, before, step;
	int d;

	if (account_lacks(a) != s->reported_lack)
		return true;
	for (d = 0; d < CAP_DIMENSIONS; d++) {
		now = cap_get(&s->need, d);
		before = cap_get(&s->reported_need, d);
		step = cap_get(&cap, d) / NEED_STEPS;
		if (cap_get(&cap, d) == 0 || now == before ||
		    (now <= cap_get(&fixed.share, d) &&
			before <= cap_get(&fixed.share, d)))
			continue;
		if (now == 0 || now - before >= step || before - now >= step)
			return true;
	}
	return false;
}

static void
report_account(
    struct cap_account_report *r, const struct pool *p, struct pool_account *a)
{
	memcpy(r->account, a->settings.name, sizeof(r->account));
	r->held = caps_held(p, a);
	r->usage = a->usage;
	cap_add(&r->usage, &a->share.unplaced, 1);
	r->need = a->share.reported_need = a->share.need;
	r->unit = a->share.unit;
	a->share.reported_lack = account_lacks(a);
}

bool
pool_cap_report(
    struct pool *p, const struct cap_request *request, struct cap_report *r)
{
	uint64_t seen_revision;
	struct pool_account *a;
	size_t n = 0;

	memset(r, 0, sizeof(*r));
	if (request == NULL && p->caps.number == 0)
		return false;
	if (request != NULL && request->controller == p->caps.controller)
		p->caps.seen_revision = request->seen_revision;
	seen_revision = request != NULL && request->seen_revision == 0
	    ? 0
	    : p->caps.seen_revision;
	caps_count_needs(p);
	LIST_FOREACH(a, &p->caps.accounts, share.entries) {
		if (need_changed(p, a))
			caps_mark_changed(p, a);
		n++;
	}
	if (request == NULL && p->caps.revision <= seen_revision)
		return false;
	r->controller = p->caps.controller_serial <= p->stored_serial
	    ? p->caps.controller
	    : 0;
	r->number = p->caps.number;
	r->owner = p->opts.fence;
	r->revision = p->caps.revision;
	r->complete = seen_revision == 0;
	r->fixed_divisor = p->caps.fixed_divisor;
	r->list = calloc(n + 1, sizeof(*r->list));
	if (r->list == NULL)
		abort(); /* an incomplete report could be taken for idleness */
	LIST_FOREACH(a, &p->caps.accounts, share.entries) {
		if (seen_revision == 0 || a->share.revision > seen_revision)
			report_account(&r->list[r->count++], p, a);
	}
	return true;
}
