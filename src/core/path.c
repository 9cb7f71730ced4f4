#include "path.h"

#include <stdlib.h>
#include <string.h>

#include "metric.h"
#include "path_health.h"
#include "path_priv.h"
#include "peers.h"

/* Longest interval between two syncs of the upstream table with the fold. */
#define PATH_SYNC_INTERVAL_US (500 * US_PER_MS)
/* Interval of health checks. */
#define PATH_HEALTH_INTERVAL_US (50 * US_PER_MS)
/* Interval of samples of the demand. */
#define PATH_DEMAND_INTERVAL_US (1 * US_PER_S)
#define DEMAND_OLD_WEIGHT 3 /* of 4: weight of the old value */
#define QUICK_SLOTS_OLD_WEIGHT 7 /* of 8: weight of the old value */

struct path *
path_new(enum path_policy policy)
{
	struct path *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return NULL;
	upstream_table_init(&p->table);
	credit_init(&p->credit, policy);
	keys_init(&p->keys);
	spill_init(&p->spill);
	TAILQ_INIT(&p->backoff);
	TAILQ_INIT(&p->finished);
	return p;
}

static void
path_free_requests(struct path *p)
{
	struct path_request *r, *next;

	r = p->requests;
	HASH_CLEAR(hh_attempt, p->attempts);
	HASH_CLEAR(hh, p->requests);
	for (; r != NULL; r = next) {
		next = r->hh.next;
		if (r->queued)
			queue_remove(&r->service->queues[r->class], r);
		request_unref(r->message);
		free(r);
	}
}

static void
path_free_services(struct path *p)
{
	struct path_service *s, *next;
	int c;

	s = p->services;
	HASH_CLEAR(hh, p->services);
	for (; s != NULL; s = next) {
		next = s->hh.next;
		for (c = 0; c < CLASS_COUNT; c++)
			queue_uninit(&s->queues[c]);
		free(s);
	}
}

void
path_free(struct path *p)
{
	if (p == NULL)
		return;
	path_free_requests(p);
	path_free_services(p);
	spill_uninit(&p->spill);
	keys_uninit(&p->keys);
	credit_uninit(&p->credit);
	upstream_table_uninit(&p->table);
	text_unref(p->text);
	free(p);
}

static struct path_service *
path_service_get(struct path *p, const char *name)
{
	struct path_service *s;
	int c;

	HASH_FIND_STR(p->services, name, s);
	if (s != NULL)
		return s;
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	memcpy(s->name, name, strlen(name) + 1);
	for (c = 0; c < CLASS_COUNT; c++)
		queue_init(&s->queues[c]);
	retry_init(&s->retry_tokens);
	HASH_ADD_STR(p->services, name, s);
	return s;
}

static void
path_sync_text(struct path *p)
{
	struct path_service *s;
	size_t i;

	for (s = p->services; s != NULL; s = s->hh.next)
		s->text = NULL;
	for (i = 0; i < p->text->service_count; i++) {
		s = path_service_get(p, p->text->services[i].name);
		if (s != NULL)
			s->text = &p->text->services[i];
	}
	p->max_weight = 1;
	for (i = 0; i < p->text->member_count; i++) {
		if (p->text->members[i].weight > p->max_weight)
			p->max_weight = p->text->members[i].weight;
	}
}

static void
path_sync(struct path *p, const struct view *v)
{
	struct text *text = fold_text(v->fold);
	struct path_service *s;

	if (text == NULL)
		return;
	if (text != p->text) {
		text_unref(p->text);
		p->text = text_ref(text);
		path_sync_text(p);
	}
	p->synced_revision = fold_revision(v->fold);
	p->synced_us = v->now_us;
	upstream_sync(&p->table, v, p->text);
	for (s = p->services; s != NULL; s = s->hh.next)
		s->pool = s->text == NULL
		    ? NULL
		    : upstream_pool_get(&p->table, s->text->pool);
}

static bool
path_needs_sync(
    const struct path *p, const struct view *v, const struct event *ev)
{
	if (fold_revision(v->fold) != p->synced_revision ||
	    fold_text(v->fold) != p->text)
		return true;
	return ev->kind == EVENT_VM_LIST ||
	    v->now_us - p->synced_us >= PATH_SYNC_INTERVAL_US ||
	    (ev->kind == EVENT_PEER_FRAME &&
		ev->u.peer_frame.frame->kind == FRAME_LEAVING);
}

/* Always false: no frame carries a peer's view of an upstream. */
static bool
path_confirm_ejection(const struct upstream *u, const void *arg)
{
	(void)u;
	(void)arg;
	return false;
}

/* Requests that wait for slots of a pool. */
static int
path_waiting_count(const void *arg, const struct upstream_pool *pool)
{
	const struct path *p = arg;
	const struct path_service *s;
	size_t n = 0;

	for (s = p->services; s != NULL; s = s->hh.next) {
		if (s->pool == pool)
			n += s->queues[CLASS_QUICK].count +
			    s->queues[CLASS_BATCH].count;
	}
	return (int)n;
}

/* Requests slots from peers for pools with waiting requests. */
static void
path_request_slots(const struct path_ctx *x)
{
	struct upstream_pool *pool;
	int waiting;

	for (pool = x->p->table.pools; pool != NULL; pool = pool->hh.next) {
		waiting = path_waiting_count(x->p, pool);
		if (waiting > 0)
			credit_request_slots(&x->p->credit, x->v, &x->p->table,
			    pool, waiting, x->fx);
	}
}

/*
 * Offered load: requests that arrived, refused or not, times their service
 * time.
 */
static void
path_sample_demand(struct path_service *s, int64_t now_us)
{
	int64_t elapsed_us = now_us - s->demand_sampled_us;
	int64_t service_time_us, ppm;

	if (elapsed_us < PATH_DEMAND_INTERVAL_US)
		return;
	service_time_us =
	    s->service_time_us[CLASS_QUICK] > s->service_time_us[CLASS_BATCH]
	    ? s->service_time_us[CLASS_QUICK]
	    : s->service_time_us[CLASS_BATCH];
	ppm = (int64_t)s->arrival_count * service_time_us /
	    (elapsed_us / US_PER_MS) * (TEXT_PPM / US_PER_MS);
	s->demand_ppm =
	    (s->demand_ppm * DEMAND_OLD_WEIGHT + ppm) / (DEMAND_OLD_WEIGHT + 1);
	s->demand_sampled_us = now_us;
	s->arrival_count = 0;
}

static void
path_tick(const struct path_ctx *x)
{
	struct upstream_pool *pool;
	struct path_service *s;

	credit_tick(&x->p->credit, x->v, &x->p->table, x->fx);
	path_end_backoffs(x);
	path_expire_overdue(x);
	if (x->v->now_us - x->p->health_checked_us < PATH_HEALTH_INTERVAL_US)
		return;
	x->p->health_checked_us = x->v->now_us;
	for (pool = x->p->table.pools; pool != NULL; pool = pool->hh.next) {
		health_update_ejections(
		    pool, x->v->now_us, path_confirm_ejection, x);
		health_decay(pool, x->v->now_us);
	}
	for (s = x->p->services; s != NULL; s = s->hh.next) {
		retry_tick(&s->retry_tokens, x->v->now_us);
		path_sample_demand(s, x->v->now_us);
		s->quick_slots_milli =
		    (s->quick_slots_milli * QUICK_SLOTS_OLD_WEIGHT +
			s->running_count[CLASS_QUICK] * INT64_C(1000)) /
		    (QUICK_SLOTS_OLD_WEIGHT + 1);
	}
}

/*
 * After a pause this daemon may have missed that an upstream is leaving. It
 * dispatches no request until a peer acknowledges a status sent after the
 * pause, or a batch of the control log arrives that was read after it. After
 * PATH_STALE_MAX_US it goes on without either.
 */
static void
path_check_pause(struct path *p, const struct view *v, const struct event *ev)
{
	bool log_read;

	if (p->last_step_us != 0 &&
	    v->now_us - p->last_step_us > PATH_PAUSE_MIN_US)
		p->stale_since_us = v->now_us;
	p->last_step_us = v->now_us;
	if (p->stale_since_us == 0)
		return;
	log_read = ev->kind == EVENT_LOG_BATCH &&
	    ev->u.log_batch.stream == STREAM_CONTROL &&
	    v->now_us - p->stale_since_us > PATH_TICK_MAX_US;
	if (log_read || v->now_us - p->stale_since_us > PATH_STALE_MAX_US ||
	    share_acked_since(&p->credit.share, p->stale_since_us))
		p->stale_since_us = 0;
}

static void
path_frame(const struct path_ctx *x, const struct frame *f)
{
	switch ((enum frame_kind)f->kind) {
	case FRAME_CREDIT_REQUEST:
	case FRAME_CREDIT_GRANT:
	case FRAME_CREDIT_RETURN:
	case FRAME_PATH_STATUS:
		credit_frame(&x->p->credit, x->v, &x->p->table, f, x->fx);
		return;
	case FRAME_SPILL:
	case FRAME_SPILL_ANSWER:
	case FRAME_SPILL_CANCEL:
		spill_frame(x, f);
		return;
	case FRAME_CLAIM_QUERY:
	case FRAME_CLAIM_ANSWER:
		key_frame(x, f);
		return;
	default:
		return;
	}
}

void
path_step(struct path *p, const struct view *v, const struct event *ev,
    struct effects *fx)
{
	struct path_ctx x = {p, v, fx};
	struct path_origin origin = {0, 0, 0};

	path_check_pause(p, v, ev);
	if (path_needs_sync(p, v, ev)) {
		path_sync(p, v);
		credit_sync(&p->credit, v, &p->table);
	}
	if (fold_next(v->fold) != p->shares_offset) {
		p->shares_offset = fold_next(v->fold);
		credit_sync(&p->credit, v, &p->table);
	}
	if (credit_recount_due(&p->credit, v))
		credit_recount(&p->credit, v, &p->table);
	keys_step(&x, ev);
	switch (ev->kind) {
	case EVENT_REQUEST:
		origin.id = ev->u.request.id;
		path_receive(&x, &origin, ev->u.request.request, 0);
		break;
	case EVENT_CALLER_GONE:
		origin.id = ev->u.caller_gone.id;
		path_caller_gone(&x, &origin);
		break;
	case EVENT_ATTEMPT_ANSWERED:
		path_attempt_answered(
		    &x, ev->u.answered.id, ev->u.answered.answer);
		break;
	case EVENT_ATTEMPT_FAILED:
		path_attempt_failed(&x, ev->u.failed.id, ev->u.failed.failure);
		break;
	case EVENT_TICK:
		path_tick(&x);
		break;
	case EVENT_PEER_FRAME:
		path_frame(&x, ev->u.peer_frame.frame);
		break;
	case EVENT_PEER_DOWN:
		spill_peer_down(&x, ev->u.peer_down.peer);
		break;
	case EVENT_STOP:
		credit_return_borrowed(&p->credit, v, &p->table, true, fx);
		break;
	default:
		break;
	}
	if (p->stale_since_us == 0)
		path_dispatch(&x);
	claims_flush(&p->keys.claims, v);
	path_request_slots(&x);
	credit_return_borrowed(&p->credit, v, &p->table, false, fx);
	credit_lend_idle(&p->credit, v, &p->table, path_waiting_count, p, fx);
	path_free_finished(p);
}

unsigned
path_slots_in_use(const struct path *p, const char *vm, uint64_t incarnation)
{
	const struct upstream *u;
	unsigned n = 0;

	HASH_FIND_STR(p->table.by_vm, vm, u);
	if (u != NULL && u->incarnation == incarnation)
		n += (unsigned)u->inflight_slots;
	TAILQ_FOREACH(u, &p->table.retired, link) {
		if (u->incarnation == incarnation && strcmp(u->vm, vm) == 0)
			n += (unsigned)u->inflight_slots;
	}
	return n + (unsigned)credit_lent_slots(&p->credit, vm, incarnation);
}

int
path_credits(const struct path *p, const char *vm, uint64_t incarnation)
{
	const struct upstream *u;

	HASH_FIND_STR(p->table.by_vm, vm, u);
	if (u == NULL || u->incarnation != incarnation || u->credits < 0)
		return 0;
	return u->credits;
}

size_t
path_longest_queue(const struct path *p)
{
	const struct path_service *s;
	const struct member_queue *m;
	size_t most = 0;
	int c;

	for (s = p->services; s != NULL; s = s->hh.next) {
		for (c = 0; c < CLASS_COUNT; c++) {
			TAILQ_FOREACH(m, &s->queues[c].members, link) {
				if (m->count > most)
					most = m->count;
			}
		}
	}
	return most;
}

unsigned
path_open_count(const struct path *p)
{
	return p->open_count;
}

int64_t
path_demand_ppm(const struct path *p, const char *pool)
{
	const struct path_service *s;
	int64_t ppm = 0;

	for (s = p->services; s != NULL; s = s->hh.next) {
		if (s->pool != NULL && strcmp(s->pool->name, pool) == 0)
			ppm += s->demand_ppm;
	}
	return ppm;
}

static struct json_object *
path_dump_shares(const struct path *p)
{
	const struct share *sh = &p->credit.share;
	struct json_object *o = json_object_new_object();
	const struct loan *l;
	int lent = 0, borrowed = 0;

	TAILQ_FOREACH(l, &p->credit.lent, link)
		lent += l->slot_count;
	TAILQ_FOREACH(l, &p->credit.borrowed, link)
		borrowed += l->slot_count;
	json_object_object_add(
	    o, "daemons_on_record", json_object_new_int((int)sh->target.count));
	json_object_object_add(o, "agreed",
	    json_object_new_boolean(sh->active.hash == sh->target.hash));
	json_object_object_add(
	    o, "excluded", json_object_new_int((int)sh->exclusion.count));
	json_object_object_add(o, "lent", json_object_new_int(lent));
	json_object_object_add(o, "borrowed", json_object_new_int(borrowed));
	return o;
}

static struct json_object *
path_dump_upstreams(const struct path *p)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct upstream *u;

	for (u = p->table.by_vm; u != NULL; u = u->hh.next) {
		o = json_object_new_object();
		json_object_object_add(o, "vm", json_object_new_string(u->vm));
		json_object_object_add(o, "pool",
		    json_object_new_string(u->pool ? u->pool->name : ""));
		json_object_object_add(
		    o, "serving", json_object_new_boolean(u->serving));
		json_object_object_add(
		    o, "credits", json_object_new_int(u->credits));
		json_object_object_add(
		    o, "base", json_object_new_int(u->base_slots));
		json_object_object_add(
		    o, "lent", json_object_new_int(u->lent_slots));
		json_object_object_add(
		    o, "borrowed", json_object_new_int(u->borrowed_slots));
		json_object_object_add(
		    o, "in_flight", json_object_new_int(u->inflight_slots));
		json_object_object_add(
		    o, "latency_us", json_object_new_int64(u->latency_us));
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *
path_dump_services(const struct path *p)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct path_service *s;

	for (s = p->services; s != NULL; s = s->hh.next) {
		o = json_object_new_object();
		json_object_object_add(
		    o, "service", json_object_new_string(s->name));
		json_object_object_add(o, "waiting_quick",
		    json_object_new_uint64(s->queues[CLASS_QUICK].count));
		json_object_object_add(o, "waiting_batch",
		    json_object_new_uint64(s->queues[CLASS_BATCH].count));
		json_object_object_add(
		    o, "demand_ppm", json_object_new_int64(s->demand_ppm));
		json_object_object_add(o, "service_us",
		    json_object_new_int64(s->service_time_us[CLASS_QUICK]));
		json_object_array_add(list, o);
	}
	return list;
}

struct json_object *
path_dump(const struct path *p)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "open", json_object_new_int((int)p->open_count));
	json_object_object_add(o, "slots", path_dump_shares(p));
	json_object_object_add(o, "keys_claimed",
	    json_object_new_int64(HASH_COUNT(p->keys.claims.holders)));
	json_object_object_add(o, "services", path_dump_services(p));
	json_object_object_add(o, "upstreams", path_dump_upstreams(p));
	return o;
}

void
path_metrics(const struct path *p, struct buf *out)
{
	const struct path_counters *n = &p->counters;

	metric_counter(
	    out, "requests_total", "callers' requests", "", n->requests);
	metric_counter(out, "outcomes_total", "final answers",
	    "outcome=\"answered\"", n->answered);
	metric_counter(
	    out, "outcomes_total", NULL, "outcome=\"not-run\"", n->not_run);
	metric_counter(
	    out, "outcomes_total", NULL, "outcome=\"unknown\"", n->unknown);
	metric_counter(out, "callers_gone_total", "callers that left early", "",
	    n->callers_gone);
	metric_counter(
	    out, "attempts_total", "attempts at upstreams", "", n->attempts);
	metric_counter(out, "retries_total", "attempts after a failed one", "",
	    n->retries);
	metric_counter(out, "late_answers_total",
	    "upstreams' answers that nobody waited for", "", n->late_answers);
	metric_gauge(out, "requests_open", "requests without an answer", "",
	    p->open_count);
}
