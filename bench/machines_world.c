#include "machines_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "roster.h"

#define TICK_MS 200 /* of the controller */
#define HOLDOFF_MS 4300
#define LINK_MS 3 /* one way */
#define CALL_TIMEOUT_MS 1000 /* of the machines' service, per page */
#define REPORT_TIMEOUT_MS 400
#define ENTRY_INTERVAL_MS 1500 /* a worker renews its entry */
#define ENTRY_EXPIRY_MS 4500
#define REGISTRATION_MS 500 /* until a new worker's first entry, at most */
#define LIST_PAGES 2
#define WAVES_MAX 24
#define POOL "pool" /* which the world of jobs plays */
#define POOL_OTHER "other"
#define POOL_SPARE "spare"

/* A machine as it is, and what the journal has of it. */
struct sim_machine {
	struct machine_report report;
	int worker; /* in the world of jobs; -1: none there */
	int64_t back_ms; /* up again then, … */
	char back_in[NAME_BYTES]; /* … in this pool */
	int64_t fence; /* highest of an order */
	bool upkept[WAVES_MAX]; /* its upkeep of this wave has begun */
	bool noted[WAVES_MAX]; /* so says the journal */
	int64_t ordered_ms; /* journal: newest order; 0: none */
	uint64_t
	    call; /* of the controller, that waits for an answer; 0: none */
};

struct sim_wave {
	char names[MACHINES_WORLD_MACHINES][NAME_BYTES];
	size_t count;
	int within_ms, max_down;
	int64_t first_seen_ms; /* journal; 0: not there */
	bool completed; /* journal */
};

enum note_kind {
	NOTE_JOURNAL_STORED, /* an order may be sent */
	NOTE_ORDER, /* arrives at the service */
	NOTE_ORDER_END,
	NOTE_PAGE, /* the service reads a page of the list */
	NOTE_LIST,
	NOTE_CORDONS, /* arrive at a pool's owner */
	NOTE_REPORT
};

struct note {
	enum note_kind kind;
	int64_t at_ms;
	int64_t term; /* of the controller */
	int64_t sent_ms;
	uint64_t call;
	int machine;
	struct roster_effect order;
	int after_ms; /* from an order's end to its answer */
	enum roster_command_result result;
	int page;
	bool other; /* cordons of the pool that runs nothing */
	struct cordon *cordons;
	size_t cordon_count;
	size_t incoming;
	int incoming_within_ms;
	struct pool_report report;
	TAILQ_ENTRY(note) entries;
};

struct worker_entry { /* of a worker of the world of jobs */
	int64_t renew_ms; /* 0: the worker has ended */
	int64_t expire_ms; /* 0: it does not */
};

struct machines_world {
	struct machines_world_opts opts;
	struct machines_faults faults;
	uint64_t random;
	struct roster *roster; /* NULL: no controller at present */
	int64_t term; /* of the controller, its fence */
	int64_t begin_ms; /* of the next one */
	int64_t tick_ms; /* next */
	struct sim_machine machines[MACHINES_WORLD_MACHINES];
	int machine_count;
	struct sim_wave waves[WAVES_MAX];
	int wave_count;
	uint64_t call; /* newest */
	uint64_t list_call; /* that is under way */
	struct machine_report list[MACHINES_WORLD_MACHINES];
	struct worker_entry entries[JOBS_WORLD_WORKERS];
	int worker_count; /* of the world of jobs */
	int64_t owner_fence;
	int other_wants;
	int other_workers; /* that ever were */
	int carried_out, repeated;
	TAILQ_HEAD(note_list, note) notes;
};

static double
chance(struct machines_world *w)
{
	w->random ^= w->random << 13;
	w->random ^= w->random >> 7;
	w->random ^= w->random << 17;
	return (double)(w->random >> 11) / (double)(1ULL << 53);
}

static int
up_to(struct machines_world *w, int ms)
{
	return (int)(chance(w) * ms);
}

static int64_t
now_ms(const struct machines_world *w)
{
	return jobs_world_ms(w->opts.jobs);
}

#define TRACE(w, ...)                                                         \
	do {                                                                  \
		if ((w)->opts.trace) {                                        \
			fprintf(                                              \
			    stderr, "%6lld machines ", (long long)now_ms(w)); \
			fprintf(stderr, __VA_ARGS__);                         \
			fputc('\n', stderr);                                  \
		}                                                             \
	} while (0)

static struct note *
note_new(struct machines_world *w, enum note_kind kind, int after_ms)
{
	struct note *n = calloc(1, sizeof(*n));

	n->kind = kind;
	n->at_ms = now_ms(w) + after_ms;
	n->term = w->term;
	n->sent_ms = now_ms(w);
	TAILQ_INSERT_TAIL(&w->notes, n, entries);
	return n;
}

static void
note_free(struct note *n)
{
	free(n->cordons);
	free(n->report.workers);
	free(n);
}

static int
machine_index(const char *name)
{
	return atoi(name + strlen("m-"));
}

/* --- the machines' service --- */

static void
worker_ends(struct machines_world *w, struct sim_machine *m)
{
	struct worker_entry *e;

	m->report.worker[0] = '\0';
	if (m->worker == -1)
		return;
	e = &w->entries[m->worker];
	e->renew_ms = 0;
	e->expire_ms = now_ms(w) + ENTRY_EXPIRY_MS;
	switch ((int)(chance(w) * 3)) {
	case 0:
		jobs_world_crash_worker(w->opts.jobs, m->worker);
		break;
	case 1:
		jobs_world_end_worker(w->opts.jobs, m->worker, COMMAND_UNSENT);
		break;
	default:
		jobs_world_end_worker(
		    w->opts.jobs, m->worker, COMMAND_OTHER_INCARNATION);
		break;
	}
	m->worker = -1;
}

static void
take_down(struct machines_world *w, struct sim_machine *m,
    enum machine_state state, const char *back_in)
{
	TRACE(w, "%s with %s (%zu tasks) is taken down until it is back in %s",
	    m->report.machine, m->report.worker,
	    m->worker >= 0 ? jobs_world_tasks_on(w->opts.jobs, m->worker) : 0,
	    back_in);
	worker_ends(w, m);
	m->report.state = state;
	m->back_ms = now_ms(w) +
	    (state == MACHINE_MOVING ? w->opts.move_ms
				     : w->opts.maintenance_ms);
	snprintf(m->back_in, sizeof(m->back_in), "%s", back_in);
	w->carried_out++;
}

static void
new_worker(struct machines_world *w, struct sim_machine *m)
{
	if (strcmp(m->report.pool, POOL_OTHER) == 0) {
		snprintf(
		    m->report.worker, NAME_BYTES, "o-%d", w->other_workers++);
		return;
	}
	if (strcmp(m->report.pool, POOL) != 0)
		return;
	m->worker = jobs_world_add_worker(w->opts.jobs);
	if (m->worker == -1)
		abort(); /* the play is too long */
	w->worker_count = m->worker + 1;
	snprintf(m->report.worker, NAME_BYTES, "w-%d", m->worker);
	w->entries[m->worker].renew_ms =
	    now_ms(w) + 1 + up_to(w, REGISTRATION_MS);
}

static void
bring_back(struct machines_world *w)
{
	struct sim_machine *m;
	int i;

	for (i = 0; i < w->machine_count; i++) {
		m = &w->machines[i];
		if (m->report.state == MACHINE_UP || now_ms(w) < m->back_ms)
			continue;
		m->report.state = MACHINE_UP;
		memcpy(m->report.pool, m->back_in, NAME_BYTES);
		new_worker(w, m);
		TRACE(w, "%s is up in %s with %s", m->report.machine,
		    m->report.pool, m->report.worker);
	}
}

/* Orders are idempotent: one that was carried out before is done. */
static enum roster_command_result
carry_out(struct machines_world *w, const struct note *n)
{
	struct sim_machine *m = &w->machines[n->machine];
	bool is_move = n->order.kind == ROSTER_EFFECT_MOVE;
	bool *upkept = is_move ? NULL : &m->upkept[n->order.wave_number - 1];

	if (w->opts.fenced && n->term < m->fence)
		return ROSTER_COMMAND_FENCED;
	if (chance(w) < w->faults.busy)
		return ROSTER_COMMAND_BUSY;
	if (n->term > m->fence)
		m->fence = n->term;
	if (m->report.state != MACHINE_UP)
		return ROSTER_COMMAND_BUSY;
	if (is_move ? strcmp(m->report.pool, n->order.to_pool) == 0 : *upkept) {
		TRACE(w, "%s with %s: the order is done already",
		    m->report.machine, m->report.worker);
		w->repeated++;
		return ROSTER_COMMAND_DONE;
	}
	if (is_move) {
		take_down(w, m, MACHINE_MOVING, n->order.to_pool);
	} else {
		*upkept = true;
		take_down(w, m, MACHINE_MAINTENANCE, m->report.pool);
	}
	return ROSTER_COMMAND_DONE;
}

static void
order_arrives(struct machines_world *w, const struct note *n)
{
	enum roster_command_result result = carry_out(w, n);
	struct note *answer;

	if (chance(w) < w->faults.lose_answers)
		return;
	answer = note_new(w, NOTE_ORDER_END, n->after_ms);
	answer->term = n->term;
	answer->call = n->call;
	answer->machine = n->machine;
	answer->result = result;
}

static void
read_page(struct machines_world *w, const struct note *n)
{
	int i;

	if (n->call != w->list_call)
		return;
	for (i = n->page; i < w->machine_count; i += LIST_PAGES)
		w->list[i] = w->machines[i].report;
}

/* --- the controller --- */

static void event(struct machines_world *w, struct roster_event *ev);

/* The calls of a controller that has ended are void. */
static bool
is_current(const struct machines_world *w, const struct note *n)
{
	return w->roster != NULL && n->term == w->term;
}

static void
read_list(struct machines_world *w)
{
	int page, at_ms = LINK_MS, wait_ms;
	struct note *n;
	bool lost = chance(w) < w->faults.lose_lists;

	w->list_call = ++w->call;
	for (page = 0; page < LIST_PAGES; page++) {
		wait_ms = up_to(w, w->faults.slow_ms);
		if (wait_ms >= CALL_TIMEOUT_MS) {
			at_ms += CALL_TIMEOUT_MS;
			lost = true;
			break;
		}
		n = note_new(w, NOTE_PAGE, at_ms + up_to(w, wait_ms));
		n->call = w->list_call;
		n->page = page;
		at_ms += wait_ms + 2 * LINK_MS;
	}
	n = note_new(w, NOTE_LIST, at_ms);
	n->call = w->list_call;
	n->result = lost ? ROSTER_COMMAND_UNKNOWN : ROSTER_COMMAND_DONE;
}

static void
list_ends(struct machines_world *w, const struct note *n)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_MACHINE_LIST};

	if (!is_current(w, n) || n->call != w->list_call)
		return;
	if (n->result == ROSTER_COMMAND_DONE) {
		ev.u.machine_list.list = w->list;
		ev.u.machine_list.count = (size_t)w->machine_count;
	}
	event(w, &ev);
}

static void
command_ends(
    struct machines_world *w, int machine, enum roster_command_result result)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_COMMAND_RESULT};

	TRACE(w, "m-%d: result of the order: %d", machine, result);
	w->machines[machine].call = 0;
	snprintf(ev.u.command_result.machine, NAME_BYTES, "m-%d", machine);
	ev.u.command_result.result = result;
	event(w, &ev);
}

static void
order_ends(struct machines_world *w, const struct note *n)
{
	if (is_current(w, n) && n->call == w->machines[n->machine].call)
		command_ends(w, n->machine, n->result);
}

static void
send_order(struct machines_world *w, const struct note *stored)
{
	struct sim_machine *m = &w->machines[stored->machine];
	int before_ms = up_to(w, w->faults.slow_ms);
	struct note *n;

	TRACE(w, "m-%d: order %d is sent, term %lld", stored->machine,
	    stored->order.kind, (long long)w->term);
	m->call = ++w->call;
	n = note_new(w, NOTE_ORDER, LINK_MS + before_ms);
	n->machine = stored->machine;
	n->order = stored->order;
	n->call = m->call;
	n->after_ms = LINK_MS + up_to(w, w->faults.slow_ms - before_ms);
	n = note_new(w, NOTE_ORDER_END, CALL_TIMEOUT_MS);
	n->machine = stored->machine;
	n->call = m->call;
	n->result = ROSTER_COMMAND_UNKNOWN;
}

/* The entry may have been stored late: the worker may be in use by then. */
static void
journal_stored(struct machines_world *w, const struct note *n)
{
	struct sim_machine *m = &w->machines[n->machine];

	if (!is_current(w, n))
		return;
	m->ordered_ms = n->sent_ms;
	if (roster_command_holds(
		w->roster, n->order.machine, now_ms(w) * US_PER_MS))
		send_order(w, n);
	else
		command_ends(w, n->machine, ROSTER_COMMAND_BUSY);
}

static void
run_effect(struct machines_world *w, const struct roster_effect *x)
{
	struct note *n;

	switch (x->kind) {
	case ROSTER_EFFECT_LIST_MACHINES:
		read_list(w);
		break;
	case ROSTER_EFFECT_MOVE:
	case ROSTER_EFFECT_MAINTENANCE:
		n = note_new(w, NOTE_JOURNAL_STORED, w->opts.store_ms);
		n->machine = machine_index(x->machine);
		n->order = *x;
		break;
	case ROSTER_EFFECT_WAVE_STATUS:
		w->waves[x->wave_number - 1].completed |= x->completed;
		break;
	case ROSTER_EFFECT_RECORD_MAINTENANCE:
		w->machines[machine_index(x->machine)]
		    .noted[x->wave_number - 1] = true;
		break;
	case ROSTER_EFFECT_RECORD_WAVE_REQUEST:
		w->waves[x->wave_number - 1].first_seen_ms = now_ms(w);
		break;
	case ROSTER_EFFECT_LOG:
		TRACE(w, "%s", x->line);
		break;
	}
}

static void
event(struct machines_world *w, struct roster_event *ev)
{
	struct roster_effects fx;
	size_t i;

	if (w->roster == NULL)
		return;
	memset(&fx, 0, sizeof(fx));
	ev->now_us = now_ms(w) * US_PER_MS;
	roster_step(w->roster, ev, &fx);
	for (i = 0; i < fx.count; i++)
		run_effect(w, &fx.list[i]);
	roster_effects_uninit(&fx);
}

static void
add_cordon(void *arg, const struct cordon *c)
{
	struct note *n = arg;

	n->cordons =
	    realloc(n->cordons, (n->cordon_count + 1) * sizeof(*n->cordons));
	n->cordons[n->cordon_count++] = *c;
}

static void
send_cordons(struct machines_world *w, bool other)
{
	const char *pool = other ? POOL_OTHER : POOL;
	struct note *n =
	    note_new(w, NOTE_CORDONS, LINK_MS + up_to(w, w->faults.cordon_ms));

	n->other = other;
	n->incoming = roster_incoming(w->roster, pool, &n->incoming_within_ms);
	roster_each_cordon(w->roster, pool, add_cordon, n);
}

static void
report_ends(struct machines_world *w, struct note *n)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_REPORT};

	if (!is_current(w, n) || now_ms(w) - n->sent_ms > REPORT_TIMEOUT_MS)
		return;
	ev.u.report = &n->report;
	event(w, &ev);
}

static void
add_pool(struct machines_world *w, const char *name, bool spare)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_CONFIG};

	snprintf(ev.u.pool_config.name, NAME_BYTES, "%s", name);
	ev.u.pool_config.spare = spare;
	event(w, &ev);
}

static void
tell_wave(struct machines_world *w, int i)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_REQUEST};
	const struct sim_wave *v = &w->waves[i];

	ev.u.wave_request.wave_number = i + 1;
	ev.u.wave_request.machine_names = v->names;
	ev.u.wave_request.count = v->count;
	ev.u.wave_request.within_ms = v->within_ms;
	ev.u.wave_request.max_down = v->max_down;
	event(w, &ev);
}

static void
tell_progress(struct machines_world *w, int wave, const char *machine)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_PROGRESS};

	ev.u.wave_progress.wave_number = wave + 1;
	ev.u.wave_progress.completed = machine == NULL;
	ev.u.wave_progress.machine = machine;
	event(w, &ev);
}

static void
tell_journal(struct machines_world *w)
{
	struct roster_event ev;
	struct sim_machine *m;
	int i, k;

	for (k = 0; k < w->wave_count; k++) {
		if (w->waves[k].first_seen_ms == 0)
			continue;
		memset(&ev, 0, sizeof(ev));
		ev.kind = ROSTER_EVENT_WAVE_REQUEST_TIME;
		ev.u.wave_request_time.wave_number = k + 1;
		ev.u.wave_request_time.ago_ms =
		    now_ms(w) - w->waves[k].first_seen_ms;
		event(w, &ev);
		if (w->waves[k].completed)
			tell_progress(w, k, NULL);
	}
	for (i = 0; i < w->machine_count; i++) {
		m = &w->machines[i];
		for (k = 0; k < w->wave_count; k++) {
			if (m->noted[k])
				tell_progress(w, k, m->report.machine);
		}
		if (m->ordered_ms == 0)
			continue;
		memset(&ev, 0, sizeof(ev));
		ev.kind = ROSTER_EVENT_PAST_COMMAND;
		memcpy(
		    ev.u.past_command.machine, m->report.machine, NAME_BYTES);
		ev.u.past_command.ago_ms = now_ms(w) - m->ordered_ms;
		event(w, &ev);
	}
}

static void
controller_begins(struct machines_world *w)
{
	struct roster_opts o = {
	    .now_us = now_ms(w) * US_PER_MS,
	    .command_holdoff_ms = HOLDOFF_MS,
	    .maintenance_ms = w->opts.maintenance_ms,
	    .move_ms = w->opts.move_ms,
	};
	int i;

	w->term++;
	w->roster = roster_new(&o);
	w->tick_ms = now_ms(w);
	TRACE(w, "controller of term %lld begins", (long long)w->term);
	for (i = 0; i < w->machine_count; i++)
		w->machines[i].call = 0;
	add_pool(w, POOL, false);
	add_pool(w, POOL_OTHER, false);
	add_pool(w, POOL_SPARE, true);
	tell_journal(w);
	for (i = 0; i < w->wave_count; i++)
		tell_wave(w, i);
}

static void
run_controller(struct machines_world *w)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_TICK};

	if (w->roster == NULL && now_ms(w) >= w->begin_ms)
		controller_begins(w);
	if (w->roster == NULL || now_ms(w) < w->tick_ms)
		return;
	w->tick_ms = now_ms(w) + TICK_MS;
	send_cordons(w, false);
	send_cordons(w, true);
	event(w, &ev);
}

/* --- the owners of pools --- */

static void
add_worker_report(void *arg, const struct pool_worker_view *v)
{
	struct pool_report *r = arg;
	struct pool_worker_report *out;

	r->workers =
	    realloc(r->workers, (r->worker_count + 1) * sizeof(*r->workers));
	out = &r->workers[r->worker_count++];
	memset(out, 0, sizeof(*out));
	snprintf(out->worker, sizeof(out->worker), "%s", v->id);
	out->task_count = v->task_count;
	out->long_running_count = v->long_running_count;
	out->cordoned = v->cordoned;
}

static void
apply_cordons(struct machines_world *w, const struct note *n)
{
	struct pool_event_cordon cordon;
	const struct cordon *c;
	size_t i;

	for (i = 0; i < n->cordon_count; i++) {
		c = &n->cordons[i];
		memset(&cordon, 0, sizeof(cordon));
		cordon.evacuate = c->kind == CORDON_EVACUATE;
		cordon.machine_removed = c->kind == CORDON_MACHINE_REMOVED;
		cordon.maintenance_pending =
		    c->kind == CORDON_MAINTENANCE_PENDING;
		cordon.age_ms = c->age_ms;
		jobs_world_cordon(
		    w->opts.jobs, atoi(c->worker + strlen("w-")), &cordon);
	}
	jobs_world_coming(w->opts.jobs, n->incoming, n->incoming_within_ms);
}

/* Nothing runs in the other pool: its workers are cordoned at once. */
static void
report_other(
    struct machines_world *w, const struct note *n, struct pool_report *r)
{
	struct pool_worker_view v;
	size_t k;
	int i;

	snprintf(r->pool, sizeof(r->pool), POOL_OTHER);
	r->fence = 1;
	r->demand.coverage = DEMAND_COMPLETE;
	r->demand.wanted_workers_milli = w->other_wants * 1000;
	for (i = 0; i < w->machine_count; i++) {
		if (w->machines[i].report.worker[0] != 'o')
			continue;
		memset(&v, 0, sizeof(v));
		v.id = w->machines[i].report.worker;
		for (k = 0; k < n->cordon_count; k++)
			v.cordoned |= strcmp(n->cordons[k].worker, v.id) == 0 &&
			    n->cordons[k].kind != CORDON_MACHINE_REMOVED &&
			    n->cordons[k].kind != CORDON_MAINTENANCE_PENDING;
		add_worker_report(r, &v);
	}
}

static void
cordons_arrive(struct machines_world *w, const struct note *n)
{
	struct note *answer =
	    note_new(w, NOTE_REPORT, LINK_MS + up_to(w, w->faults.cordon_ms));
	struct pool_report *r = &answer->report;
	struct pool *pool = jobs_world_pool(w->opts.jobs);

	answer->term = n->term;
	answer->sent_ms = n->sent_ms;
	r->request_sent_us = n->sent_ms * US_PER_MS;
	if (n->other) {
		report_other(w, n, r);
		return;
	}
	apply_cordons(w, n);
	snprintf(r->pool, sizeof(r->pool), POOL);
	r->fence = w->owner_fence;
	pool_demand(pool, &r->demand);
	pool_each_worker(pool, add_worker_report, r);
}

static void
run_entries(struct machines_world *w)
{
	struct worker_entry *e;
	int i;

	for (i = 0; i < w->worker_count; i++) {
		e = &w->entries[i];
		if (e->renew_ms != 0 && now_ms(w) >= e->renew_ms) {
			e->renew_ms = now_ms(w) + ENTRY_INTERVAL_MS;
			jobs_world_list_worker(w->opts.jobs, i, true);
		}
		if (e->expire_ms != 0 && now_ms(w) >= e->expire_ms) {
			e->expire_ms = 0;
			jobs_world_list_worker(w->opts.jobs, i, false);
		}
	}
}

/* --- the world --- */

static void
run_note(struct machines_world *w, struct note *n)
{
	switch (n->kind) {
	case NOTE_JOURNAL_STORED:
		journal_stored(w, n);
		break;
	case NOTE_ORDER:
		order_arrives(w, n);
		break;
	case NOTE_ORDER_END:
		order_ends(w, n);
		break;
	case NOTE_PAGE:
		read_page(w, n);
		break;
	case NOTE_LIST:
		list_ends(w, n);
		break;
	case NOTE_CORDONS:
		cordons_arrive(w, n);
		break;
	case NOTE_REPORT:
		report_ends(w, n);
		break;
	}
}

static void
run_notes(struct machines_world *w)
{
	struct note *n, *next;

	for (n = TAILQ_FIRST(&w->notes); n != NULL; n = next) {
		if (n->at_ms <= now_ms(w))
			run_note(w, n);
		next = TAILQ_NEXT(n, entries);
		if (n->at_ms > now_ms(w))
			continue;
		TAILQ_REMOVE(&w->notes, n, entries);
		note_free(n);
	}
}

void
machines_world_run(struct machines_world *w, int ms)
{
	while (ms-- > 0) {
		jobs_world_run(w->opts.jobs, 1);
		bring_back(w);
		run_entries(w);
		run_notes(w);
		run_controller(w);
	}
}

static void
add_machines(struct machines_world *w, const char *pool, int count)
{
	struct sim_machine *m;

	while (count-- > 0) {
		m = &w->machines[w->machine_count];
		snprintf(
		    m->report.machine, NAME_BYTES, "m-%d", w->machine_count);
		snprintf(m->report.pool, NAME_BYTES, "%s", pool);
		m->report.cpu_milli = 4000;
		m->worker = -1;
		if (strcmp(pool, POOL) == 0) {
			m->worker = w->machine_count;
			snprintf(
			    m->report.worker, NAME_BYTES, "w-%d", m->worker);
			w->entries[m->worker].renew_ms =
			    now_ms(w) + 1 + up_to(w, ENTRY_INTERVAL_MS);
		} else {
			new_worker(w, m);
		}
		w->machine_count++;
	}
}

struct machines_world *
machines_world_new(const struct machines_world_opts *opts)
{
	struct machines_world *w = calloc(1, sizeof(*w));

	w->opts = *opts;
	w->random = opts->seed * 2654435761u + 88172645463325252u;
	w->owner_fence = 1;
	w->worker_count = opts->machines;
	TAILQ_INIT(&w->notes);
	add_machines(w, POOL, opts->machines);
	add_machines(w, POOL_OTHER, opts->other_machines);
	add_machines(w, POOL_SPARE, opts->spare_machines);
	controller_begins(w);
	return w;
}

void
machines_world_free(struct machines_world *w)
{
	struct note *n;

	while ((n = TAILQ_FIRST(&w->notes)) != NULL) {
		TAILQ_REMOVE(&w->notes, n, entries);
		note_free(n);
	}
	roster_free(w->roster);
	free(w);
}

void
machines_world_faults(
    struct machines_world *w, const struct machines_faults *faults)
{
	w->faults = *faults;
}

void
machines_world_wave(
    struct machines_world *w, unsigned mask, int within_ms, int max_down)
{
	struct sim_wave *v = &w->waves[w->wave_count];
	int i;

	if (w->wave_count == WAVES_MAX)
		return;
	for (i = 0; i < w->machine_count; i++) {
		if ((mask >> i & 1) != 0)
			snprintf(v->names[v->count++], NAME_BYTES, "m-%d", i);
	}
	v->within_ms = within_ms;
	v->max_down = max_down;
	tell_wave(w, w->wave_count++);
}

bool
machines_world_wave_is_open(const struct machines_world *w)
{
	int i;

	for (i = 0; i < w->wave_count; i++) {
		if (!w->waves[i].completed)
			return true;
	}
	return false;
}

void
machines_world_other_wants(struct machines_world *w, int workers)
{
	w->other_wants = workers;
}

void
machines_world_replace_controller(struct machines_world *w, int gap_ms)
{
	roster_free(w->roster);
	w->roster = NULL;
	w->begin_ms = now_ms(w) + gap_ms;
}

void
machines_world_replace_owner(struct machines_world *w, int zombie_ms)
{
	struct pool *before = jobs_world_pool(w->opts.jobs);

	jobs_world_take_over(w->opts.jobs, zombie_ms);
	w->owner_fence += jobs_world_pool(w->opts.jobs) != before;
}

int
machines_world_carried_out(const struct machines_world *w)
{
	return w->carried_out;
}

int
machines_world_repeated(const struct machines_world *w)
{
	return w->repeated;
}
