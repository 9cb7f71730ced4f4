#include "jobs_world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "drawn_text.h"
#include "slope.h"

#define START_MS 1000000 /* Unix time at the beginning */
#define LEASE_MS 4000
#define LEASE_MAX_MS 6000 /* workers cut a longer one */
#define GIVE_UP_MS 3000 /* of an owner that the store does not confirm */
#define SETTLE_MS 7500 /* both and a margin, as the scheduler counts */
#define ORDER_TIMEOUT_MS 400
#define HOLD_TIMEOUT_MS 600
#define STOP_MS 100 /* a stop takes so long */
#define RESTORE_MS 200
#define CANCEL_MS 3000 /* starts so long after a cancel are not asked for */
#define LATE_MIN_MS 2000 /* orders that are carried out late */
#define LATE_MAX_MS 12000
#define STATUS_KEEP_MS 120000
#define OWNERS_MAX 32
#define LOOK_MS 20 /* between two looks at what has been completed */
/* Crashes under a task after which its further starts are counted. */
#define CRASHES_COUNTED 3
#define STARTS_AFTER_CRASHES_MAX 2
/* Workers that end under a task before it may be given up. */
#define LOST_WORKERS_GIVE_UP 2
#define CONTACT_MS 3000
#define HEARTBEAT_MS 1500
/* Capacity that has shrunk counts so long after. */
#define CAPACITY_GRACE_MS (CONTACT_MS + HEARTBEAT_MS)
#define ENTRY_EXPIRY_MS 4500 /* three heartbeats after a crash */
/* A lasting task that is not at work for so long counts as away. */
#define NOTICE_MS 4500
#define ENDS_LISTED_MAX 500 /* in one answer, those with the lowest numbers */
/* A lease that lapses so long after a disturbance may be due to it. */
#define DISTURBED_MS (CONTACT_MS + LEASE_MAX_MS)
#define CLOCK_SLOW_PERCENT 2 /* of workers' slow clocks */
#define TRACED_TEXT_BYTES 64
#define CHECKPOINT_MS 1000 /* of work, between values that are saved */
#define START_BYTES 4500 /* of a start, with the caller's text */
#define ORDER_BYTES 400 /* of any other order */

struct sim_run {
	struct task_name task;
	int64_t run;
	int64_t cpu, memory_mb, accelerators;
	int64_t begun_ms, ends_ms;
	bool checkpoints, fills, gang, lasting;
	unsigned step_tasks, may_miss; /* of its step */
	int64_t target_ms; /* of a task that serves; 0 none */
	int pace; /* percent, of a task that fills */
	bool fails;
	struct buf *saved; /* a value of its known_task; NULL: none */
	int64_t saved_ms; /* work that it stands for */
	int64_t stop_ms; /* ends stopped then; 0: not told to */
	int64_t crash_ms; /* crashes its worker then; 0: it does not */
	LIST_ENTRY(sim_run) entries;
};

struct sim_bar { /* highest run that ended or was stopped */
	char name[TASK_NAME_BYTES];
	int64_t run;
	UT_hash_handle hh;
};

struct end_mark { /* of a run that has ended */
	int64_t ms; /* when it did */
	int starts; /* of its task until then */
};

struct sim_worker {
	char id[NAME_BYTES];
	int64_t born_ms;
	bool up, cut, listed, draining;
	bool is_over; /* its life … */
	bool refuses; /* … or a cut before it does */
	enum command_result
	    ended_as; /* what its address answers once it is over */
	int64_t
	    revive_ms; /* comes back then under another id; 0: it does not */
	unsigned lives; /* ids that it has had before */
	char old_id[NAME_BYTES]; /* its entry … */
	int64_t old_entry_end_ms; /* … expires then; 0: there is none */
	int side; /* 1 and more: only this owner, from 1, reaches it; 0: all */
	int64_t disturbed_ms; /* its link was, the last time; 0: never */
	int64_t cpu, cpu_before; /* the latter until … */
	int64_t cpu_changed_ms; /* … a grace after this */
	int64_t fence, lease_end_ms;
	LIST_HEAD(sim_runs, sim_run) runs;
	struct end_report *ended;
	struct end_mark *end_marks; /* one for each of "ended" */
	size_t ended_count;
	int64_t lapsed_ms; /* it had no lease, the last time; 0: never */
	int64_t ends;
	struct sim_bar *bars;
	int64_t clock_start_ms; /* its clock when it started */
	int64_t slow_since_ms; /* its clock is slow since; 0: it is not */
	int lists_missing; /* the next lists of the platform lack it */
	int hidden_reports; /* a run in the next ones cannot be read … */
	int garbled_reports; /* … or a further row that is none of its runs */
};

struct owner {
	struct pool *pool;
	int64_t fence;
	bool alive;
	int64_t cut_ms; /* from the store since; 0: it is not */
	int64_t stalled_until_ms; /* its loop stands still; 0: it does not */
	int64_t census_ms; /* the platform answers then; 0: not asked */
	int64_t suspended_until_ms; /* receives and does nothing before */
	struct pool_effects fx;
};

enum message_kind {
	MESSAGE_START,
	MESSAGE_STOP,
	MESSAGE_HOLD,
	MESSAGE_ORDER_END,
	MESSAGE_HELD,
	MESSAGE_WRITE
};

struct message {
	enum message_kind kind;
	int64_t at_ms;
	int owner;
	int worker;
	int64_t born_ms; /* life of the worker it is meant for */
	int64_t fence;
	struct task_name task;
	int64_t run;
	struct job_spec *spec;
	struct buf *saved, *ticket; /* references; NULL: none */
	int64_t lease_end_ms, acked_end, asked_us, until_ms;
	int64_t clock_ms; /* of the worker, in its answer */
	enum command_result end;
	bool answer_lost;
	bool held_up; /* carried out late */
	bool has_report;
	struct renewal_report report;
	char key[JOB_KEY_BYTES];
	struct buf *value;
	uint64_t serial;
	LIST_ENTRY(message) entries;
};

struct stored {
	char key[JOB_KEY_BYTES];
	struct buf *value;
	UT_hash_handle hh;
};

struct known_value {
	struct buf *value;
	LIST_ENTRY(known_value) entries;
};

struct known_task { /* what workers have seen of a task */
	LIST_HEAD(known_values, known_value) values; /* that it has saved */
	unsigned value_count;
	char name[TASK_NAME_BYTES];
	bool done; /* a run has ended so */
	bool done_noted; /* … and the owner has taken note */
	int starts; /* none may come after that end */
	int failed;
	bool deadly; /* crashes each worker that starts it */
	int crashes, starts_after_crashes;
	int lost_workers; /* that ended under a run of it, whatever the cause */
	int64_t at_work_ms; /* a lasting task was, the last time; 0: never */
	bool ended_by_order; /* and has not been at work since */
	UT_hash_handle hh;
};

struct known_job {
	char id[JOB_ID_BYTES];
	struct job_spec *spec;
	char account[NAME_BYTES]; /* "": none */
	bool accepted;
	int64_t first_ms, done_ms, cancel_ms;
	int64_t cancel_sent_ms; /* 0: it was not cancelled */
	bool deadly; /* one of its tasks is */
	bool may_be_given_up; /* enough workers ended under one of its tasks */
	int retry_ms; /* of its newest refusal; 0: accepted */
	UT_hash_handle hh;
};

struct jobs_world {
	int64_t lag_us; /* told to the reducer */
	struct jobs_world_opts opts;
	uint64_t random;
	int64_t ms;
	struct sim_worker workers[JOBS_WORLD_WORKERS];
	struct owner owners[OWNERS_MAX];
	int owner; /* the present one */
	bool store_down;
	int64_t entries_away_ms; /* no entry is read since; 0: they are */
	int64_t answers_read_ms; /* the owner reads no answer before */
	double link_free_ms; /* its link has sent all orders by then */
	bool census_unreadable;
	int64_t step_ms; /* of owners' time of day */
	int64_t orders_disturbed_ms; /* orders were lost or late; 0: never */
	int refuse_ms;
	struct stored *records;
	LIST_HEAD(message_list, message) messages;
	struct known_task *tasks;
	struct known_job *jobs;
	struct known_job **tokens;
	size_t token_count;
	int accepted, refused, looked_state;
	uint64_t next_id;
	struct jobs_verdict verdict;
	uint64_t starts, renewals;
	struct pool_effect question; /* the policy's, until it answers … */
	int64_t answer_ms; /* … then; 0: it was not asked */
	double step_us;
	struct queue_settings terms;
	char caller[NAME_BYTES]; /* account of new jobs */
	struct account_settings *accounts;
	size_t account_count;
	int jitter_ms; /* further delay of a message, at most */
	bool late_orders_cross_restarts;
};

static const struct queue_settings usual_terms = {.name = "queue",
    .max_attempts = 3,
    .stretch = 1.6,
    .target_latency_ms = 600};

static void __attribute__((format(printf, 2, 3)))
trace(struct jobs_world *w, const char *fmt, ...)
{
	char line[160];
	va_list ap;

	if (w->opts.trace == NULL)
		return;
	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	w->opts.trace(w->opts.trace_arg, w->ms, line);
}

/* "1.0.0.2": job, occurrence, step, index, as the trace shows a task. */
static const char *
short_name(const struct task_name *n)
{
	static char out[TASK_NAME_BYTES];

	snprintf(out, sizeof(out), "%llu.%u.%u.%u", strtoull(n->job, NULL, 16),
	    n->occurrence, n->step, n->index);
	return out;
}

static double
chance(struct jobs_world *w)
{
	w->random ^= w->random << 13;
	w->random ^= w->random >> 7;
	w->random ^= w->random << 17;
	return (double)(w->random >> 11) / (double)(1ULL << 53);
}

static void __attribute__((format(printf, 3, 4)))
blame(struct jobs_world *w, int *count, const char *fmt, ...)
{
	va_list ap;
	int n;

	(*count)++;
	if (getenv("JOBS_WORLD_LOG") != NULL) {
		va_start(ap, fmt);
		fprintf(stderr, "%6lld BROKEN ", (long long)w->ms);
		vfprintf(stderr, fmt, ap);
		fputc('\n', stderr);
		va_end(ap);
	}
	if (w->verdict.first[0] != '\0')
		return;
	n = snprintf(w->verdict.first, sizeof(w->verdict.first),
	    "%lld ms: ", (long long)w->ms);
	va_start(ap, fmt);
	vsnprintf(w->verdict.first + n, sizeof(w->verdict.first) - (size_t)n,
	    fmt, ap);
	va_end(ap);
}

static struct known_task *
known_task(struct jobs_world *w, const struct task_name *n)
{
	char name[TASK_NAME_BYTES];
	struct known_task *t;

	task_name_format(n, name, sizeof(name));
	HASH_FIND_STR(w->tasks, name, t);
	if (t != NULL)
		return t;
	t = calloc(1, sizeof(*t));
	snprintf(t->name, sizeof(t->name), "%s", name);
	HASH_ADD_STR(w->tasks, name, t);
	return t;
}

static struct text_view
view_of(const struct buf *b)
{
	return (struct text_view){(const char *)b->data, b->len};
}

/* For the trace, cut; long ones by their length. */
static const char *
text_of(const struct buf *b, char out[TRACED_TEXT_BYTES])
{
	size_t len = b != NULL ? b->len : 0;

	if (len < TRACED_TEXT_BYTES)
		snprintf(out, TRACED_TEXT_BYTES, "%.*s", (int)len,
		    len > 0 ? (const char *)b->data : "");
	else
		snprintf(out, TRACED_TEXT_BYTES, "%zu bytes", len);
	return out;
}

/* The policy's ticket of a step for a worker, always the same. */
static struct buf *
ticket_of(
    const struct jobs_world *w, const struct task_name *n, const char *worker)
{
	char step[TASK_NAME_BYTES];

	if (w->opts.text_max_bytes == 0)
		return buf_from("ticket", strlen("ticket"));
	snprintf(
	    step, sizeof(step), "%s.%u.%u", n->job, n->occurrence, n->step);
	return drawn_text(
	    drawn_text_hash(drawn_text_hash(w->opts.seed, step), worker),
	    (size_t)w->opts.text_max_bytes);
}

/* The run's task saves a new value. */
static void
save_value(struct jobs_world *w, struct sim_run *r)
{
	struct known_task *t = known_task(w, &r->task);
	struct known_value *v = calloc(1, sizeof(*v));
	char text[TRACED_TEXT_BYTES];

	if (v == NULL)
		abort();
	snprintf(text, sizeof(text), "after-%lld-ms",
	    (long long)(w->ms - r->begun_ms));
	v->value = w->opts.text_max_bytes == 0
	    ? buf_from(text, strlen(text))
	    : drawn_text(
		  drawn_text_hash(w->opts.seed + t->value_count, t->name),
		  (size_t)w->opts.text_max_bytes);
	t->value_count++;
	LIST_INSERT_HEAD(&t->values, v, entries);
	r->saved = v->value;
}

static bool
task_saved(const struct known_task *t, const struct buf *value)
{
	const struct known_value *v;

	LIST_FOREACH(v, &t->values, entries) {
		if (v->value->len == value->len &&
		    memcmp(v->value->data, value->data, value->len) == 0)
			return true;
	}
	return false;
}

static struct known_job *
known_job(struct jobs_world *w, const char *id)
{
	struct known_job *j;

	HASH_FIND_STR(w->jobs, id, j);
	return j;
}

static int64_t
clock_ms(const struct jobs_world *w, const struct sim_worker *s)
{
	int64_t slow_ms = 0;

	if (s->slow_since_ms != 0)
		slow_ms = w->ms -
		    (s->slow_since_ms > s->born_ms ? s->slow_since_ms
						   : s->born_ms);
	return s->clock_start_ms + w->ms - s->born_ms -
	    slow_ms * CLOCK_SLOW_PERCENT / 100;
}

/* A new incarnation of the worker. */
static void
start_life(struct jobs_world *w, struct sim_worker *s)
{
	s->up = true;
	s->is_over = false;
	s->born_ms = w->ms;
	s->revive_ms = 0;
	if (w->opts.clock_start_max_ms > 0)
		s->clock_start_ms =
		    (int64_t)(chance(w) * (double)w->opts.clock_start_max_ms);
}

static void
message_free(struct message *m)
{
	job_spec_unref(m->spec);
	buf_unref(m->saved);
	buf_unref(m->ticket);
	buf_unref(m->value);
	if (m->has_report)
		renewal_report_uninit(&m->report);
	free(m);
}

static int64_t
jitter(struct jobs_world *w)
{
	return w->jitter_ms > 0 ? (int64_t)(chance(w) * w->jitter_ms) : 0;
}

static struct message *
message_new(struct jobs_world *w, enum message_kind kind, int64_t at_ms)
{
	struct message *m = calloc(1, sizeof(*m));

	m->kind = kind;
	m->at_ms = at_ms;
	m->clock_ms = -1;
	LIST_INSERT_HEAD(&w->messages, m, entries);
	return m;
}

/* --- workers --- */

static struct sim_bar *
bar_of(struct sim_worker *s, const struct task_name *n)
{
	char name[TASK_NAME_BYTES];
	struct sim_bar *b;

	task_name_format(n, name, sizeof(name));
	HASH_FIND_STR(s->bars, name, b);
	if (b != NULL)
		return b;
	b = calloc(1, sizeof(*b));
	snprintf(b->name, sizeof(b->name), "%s", name);
	HASH_ADD_STR(s->bars, name, b);
	return b;
}

static struct sim_run *
find_run(struct sim_worker *s, const struct task_name *n)
{
	struct sim_run *r;

	LIST_FOREACH(r, &s->runs, entries) {
		if (strcmp(r->task.job, n->job) == 0 &&
		    r->task.step == n->step && r->task.index == n->index &&
		    r->task.occurrence == n->occurrence)
			return r;
	}
	return NULL;
}

static void
end_run(struct jobs_world *w, struct sim_worker *s, struct sim_run *r,
    enum run_end how)
{
	struct sim_bar *b = bar_of(s, &r->task);
	struct end_report *e;

	static const char *const hows[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};

	trace(w, "%s ends %s run %lld %s", s->id, short_name(&r->task),
	    (long long)r->run, hows[how]);
	if (r->run > b->run)
		b->run = r->run;
	s->end_marks =
	    realloc(s->end_marks, (s->ended_count + 1) * sizeof(*s->end_marks));
	s->end_marks[s->ended_count].ms = w->ms;
	s->end_marks[s->ended_count].starts = known_task(w, &r->task)->starts;
	s->ended = realloc(s->ended, (s->ended_count + 1) * sizeof(*s->ended));
	e = &s->ended[s->ended_count++];
	memset(e, 0, sizeof(*e));
	e->number = ++s->ends;
	e->task = r->task;
	e->run = r->run;
	e->outcome = how;
	if (r->checkpoints && how == RUN_STOPPED)
		save_value(w, r);
	if (r->saved != NULL && how != RUN_DONE)
		e->checkpoint = view_of(r->saved);
	if (how == RUN_DONE)
		known_task(w, &r->task)->done = true;
	LIST_REMOVE(r, entries);
	free(r);
}

static void
drop_runs(struct sim_worker *s)
{
	struct sim_run *r;

	while ((r = LIST_FIRST(&s->runs)) != NULL) {
		LIST_REMOVE(r, entries);
		free(r);
	}
}

static void
worker_forget(struct sim_worker *s)
{
	struct sim_bar *b, *next;

	drop_runs(s);
	free(s->ended);
	free(s->end_marks);
	s->ended = NULL;
	s->end_marks = NULL;
	s->ended_count = 0;
	s->ends = s->fence = s->lease_end_ms = 0;
	b = s->bars;
	HASH_CLEAR(hh, s->bars); /* leaves the chain of the elements */
	for (; b != NULL; b = next) {
		next = b->hh.next;
		free(b);
	}
}

static int
run_percent(const struct jobs_world *w, const struct sim_run *r)
{
	int64_t ran = w->ms - r->begun_ms, takes = r->ends_ms - r->begun_ms + 1;

	if (r->ends_ms == INT64_MAX)
		takes = w->opts.begin_ms;
	return ran >= takes ? 100 : (int)(100 * ran / takes);
}

/* Other tasks of the step that an order ended, or not at work for NOTICE_MS. */
static unsigned
others_away(struct jobs_world *w, const struct sim_run *r)
{
	const struct known_job *j = known_job(w, r->task.job);
	struct task_name n = r->task;
	const struct known_task *t;
	int64_t since_ms;
	unsigned away = 0;

	for (n.index = 0; n.index < r->step_tasks; n.index++) {
		if (n.index == r->task.index)
			continue;
		t = known_task(w, &n);
		since_ms = t->at_work_ms;
		if (j != NULL && j->first_ms > since_ms)
			since_ms = j->first_ms;
		away += t->ended_by_order || w->ms - since_ms >= NOTICE_MS;
	}
	return away;
}

/* An order, or a lease that the owner let lapse, ends a run. */
static void
judge_order(struct jobs_world *w, const struct sim_worker *s,
    const struct sim_run *r, const char *how)
{
	const struct known_job *j = known_job(w, r->task.job);
	struct known_task *t;
	unsigned away;

	if (!r->lasting || run_percent(w, r) < 100 || s->draining ||
	    (j != NULL && j->cancel_sent_ms != 0))
		return;
	t = known_task(w, &r->task);
	away = others_away(w, r);
	t->ended_by_order = true;
	if (away >= (r->may_miss > 0 ? r->may_miss : 1))
		blame(w, &w->verdict.over_unavailable,
		    "%s is %s on %s while %u others are away", t->name, how,
		    s->id, away);
}

static bool
lease_disturbed(const struct jobs_world *w, const struct sim_worker *s)
{
	return s->cut || s->side > 0 || s->refuses || w->opts.lose > 0 ||
	    w->opts.late > 0 ||
	    (s->disturbed_ms != 0 && w->ms - s->disturbed_ms < DISTURBED_MS) ||
	    (w->orders_disturbed_ms != 0 &&
		w->ms - w->orders_disturbed_ms < DISTURBED_MS);
}

/* What the rules say of a start, from what all workers have seen. */
static void
judge_start(struct jobs_world *w, const struct message *m)
{
	const struct step_spec *step = &m->spec->steps[m->task.step];
	struct known_job *j = known_job(w, m->task.job);
	struct known_task *t = known_task(w, &m->task);
	struct task_name before = m->task;
	size_t i, k;

	for (i = 0; i < (size_t)w->opts.workers; i++) {
		if (w->workers[i].up && find_run(&w->workers[i], &m->task))
			blame(w, &w->verdict.ran_twice,
			    "two runs of %s at once, one on %s", t->name,
			    w->workers[i].id);
	}
	if (t->done_noted)
		blame(w, &w->verdict.ran_twice, "%s run %lld after its end",
		    t->name, (long long)m->run);
	/* Copies may run after the end of one, tasks that last have to. */
	if (!step->speculative && !step->long_running)
		t->starts++;
	if (t->failed >= w->terms.max_attempts)
		blame(w, &w->verdict.over_budget, "%s run %lld", t->name,
		    (long long)m->run);
	if (t->crashes >= CRASHES_COUNTED &&
	    ++t->starts_after_crashes > STARTS_AFTER_CRASHES_MAX)
		blame(w, &w->verdict.over_budget, "%s after %d crashes",
		    t->name, t->crashes);
	if (j != NULL && j->cancel_ms != 0 && w->ms > j->cancel_ms + CANCEL_MS)
		blame(w, &w->verdict.unasked, "%s run %lld", t->name,
		    (long long)m->run);
	for (k = 0; k < step->depends_on_count; k++) {
		before.step = step->depends_on[k];
		for (i = 0; i < m->spec->steps[before.step].task_count; i++) {
			before.index = (unsigned)i;
			if (!known_task(w, &before)->done)
				blame(
				    w, &w->verdict.out_of_order, "%s", t->name);
		}
	}
}

static bool
has_room(struct jobs_world *w, const struct sim_worker *s,
    const struct step_spec *step)
{
	int64_t cpu = step_spec_reserved_cpu_milli(step),
		memory_mb = step->memory_mb;
	int64_t accelerators = step->accelerators;
	int64_t room = s->cpu;
	struct sim_run *r;

	if (!w->opts.guarded && s->cpu_before > room &&
	    w->ms <= s->cpu_changed_ms + CAPACITY_GRACE_MS)
		room = s->cpu_before;
	LIST_FOREACH(r, &s->runs, entries) {
		cpu += r->cpu;
		memory_mb += r->memory_mb;
		accelerators += r->accelerators;
	}
	return cpu <= room && memory_mb <= w->opts.memory_mb &&
	    accelerators <= w->opts.accelerators;
}

static int
crash_delay_ms(struct jobs_world *w, const struct task_name *n)
{
	int sooner = w->opts.crash_sooner_ms * known_task(w, n)->crashes;

	return sooner < w->opts.crash_after_ms ? w->opts.crash_after_ms - sooner
					       : 0;
}

/* A lease of an order, which the worker shortens to LEASE_MAX_MS. */
static void
extend_lease(struct jobs_world *w, struct sim_worker *s, int64_t end_ms)
{
	int64_t end_max_ms = clock_ms(w, s) + LEASE_MAX_MS;

	if (end_ms > end_max_ms)
		end_ms = end_max_ms;
	if (end_ms > s->lease_end_ms)
		s->lease_end_ms = end_ms;
}

/* A start has what the task, or a member of its gang, saved, and the ticket. */
static void
judge_texts(
    struct jobs_world *w, const struct sim_worker *s, const struct message *m)
{
	const struct step_spec *step = &m->spec->steps[m->task.step];
	struct task_name n = m->task;
	struct buf *ticket;
	bool saved = m->saved == NULL;

	if (step->gang) {
		for (n.index = 0; n.index < step->task_count; n.index++)
			saved =
			    saved || task_saved(known_task(w, &n), m->saved);
	} else {
		saved = saved || task_saved(known_task(w, &n), m->saved);
	}
	if (!saved)
		blame(w, &w->verdict.unasked,
		    "%s starts with %zu bytes that it has not saved",
		    short_name(&m->task), m->saved->len);
	if (!w->terms.has_policy)
		return;
	ticket = ticket_of(w, &m->task, s->id);
	if (m->ticket == NULL || ticket->len != m->ticket->len ||
	    (ticket->len > 0 &&
		memcmp(ticket->data, m->ticket->data, ticket->len) != 0))
		blame(w, &w->verdict.unasked,
		    "%s starts with another ticket than %zu bytes",
		    short_name(&m->task), ticket->len);
	buf_unref(ticket);
}

static enum command_result
worker_start(struct jobs_world *w, struct sim_worker *s, struct message *m)
{
	const struct step_spec *step = &m->spec->steps[m->task.step];
	struct sim_run *r = find_run(s, &m->task);
	char saved[TRACED_TEXT_BYTES], ticket[TRACED_TEXT_BYTES];
	double true_ms, spread;

	if (r != NULL && r->run == m->run)
		return COMMAND_ACCEPTED;
	if (bar_of(s, &m->task)->run >= m->run ||
	    (r != NULL && r->run > m->run))
		return COMMAND_RUN_ENDED;
	if (m->lease_end_ms <= clock_ms(w, s))
		return COMMAND_REFUSED;
	extend_lease(w, s, m->lease_end_ms);
	if (!has_room(w, s, step)) {
		trace(w, "%s has no room for %s", s->id, short_name(&m->task));
		if (w->opts.guarded)
			return COMMAND_NO_CAPACITY;
		blame(w, &w->verdict.over_room, "%s", s->id);
	}
	judge_start(w, m);
	judge_texts(w, s, m);
	w->starts++;
	r = calloc(1, sizeof(*r));
	r->task = m->task;
	r->run = m->run;
	r->cpu = step_spec_reserved_cpu_milli(step);
	r->memory_mb = step->memory_mb;
	r->accelerators = step->accelerators;
	r->checkpoints = step->has_checkpoints;
	r->fills = step->best_effort;
	r->gang = step->gang;
	r->lasting = step->long_running;
	r->step_tasks = step->task_count;
	r->may_miss = step->max_unavailable;
	r->target_ms = step->tail_target_ms;
	r->pace = 100;
	r->begun_ms = w->ms;
	spread = 1 + w->opts.estimate_spread * (2 * chance(w) - 1);
	true_ms = w->opts.run_ms > 0 ? (double)w->opts.run_ms
				     : (double)step->estimate_ms;
	r->ends_ms = step->long_running
	    ? INT64_MAX
	    : w->ms + 1 + (int64_t)(true_ms * spread);
	r->fails = chance(w) < w->opts.fail;
	if (known_task(w, &m->task)->deadly)
		r->crash_ms = w->ms + 1 + crash_delay_ms(w, &m->task);
	LIST_INSERT_HEAD(&s->runs, r, entries);
	trace(w, "%s starts %s run %lld%s%s%s%s", s->id, short_name(&m->task),
	    (long long)m->run, m->saved != NULL ? " from " : "",
	    text_of(m->saved, saved), m->ticket != NULL ? " with " : "",
	    text_of(m->ticket, ticket));
	return COMMAND_ACCEPTED;
}

static enum command_result
worker_stop(struct jobs_world *w, struct sim_worker *s, struct message *m)
{
	struct sim_run *r = find_run(s, &m->task);
	struct sim_bar *b = bar_of(s, &m->task);

	if (r != NULL && r->run == m->run) {
		if (r->stop_ms == 0) {
			if (!m->held_up)
				judge_order(w, s, r, "stopped");
			r->stop_ms = w->ms + STOP_MS;
		}
	} else if (m->run > b->run) {
		b->run = m->run;
	}
	return COMMAND_ACCEPTED;
}

/*
 * A start after a run has ended done is one too many if that end is taken note
 * of, be it after the start.  An end does not count as noted if the lease
 * lapsed since.
 */
static void
judge_noted_done(struct jobs_world *w, const struct sim_worker *s, size_t i)
{
	struct known_task *t = known_task(w, &s->ended[i].task);

	if (t->starts > s->end_marks[i].starts &&
	    s->lapsed_ms < s->end_marks[i].ms)
		blame(w, &w->verdict.ran_twice,
		    "%s was started after run %lld had ended done on %s",
		    t->name, (long long)s->ended[i].run, s->id);
}

static void
note_ends(struct jobs_world *w, struct sim_worker *s, int64_t acked_end)
{
	struct known_task *t;
	size_t i, kept = 0;

	for (i = 0; i < s->ended_count; i++) {
		if (s->ended[i].number > acked_end) {
			s->end_marks[kept] = s->end_marks[i];
			s->ended[kept++] = s->ended[i];
			continue;
		}
		t = known_task(w, &s->ended[i].task);
		if (s->ended[i].outcome == RUN_DONE) {
			judge_noted_done(w, s, i);
			t->done_noted = true;
		} else if (s->ended[i].outcome == RUN_FAILED) {
			t->failed++;
		}
	}
	s->ended_count = kept;
}

static bool
out_of_reach(const struct sim_worker *s, int owner)
{
	return s->cut || (s->side > 0 && s->side != owner + 1);
}

/* Half of its target, and as much again for each task that fills beside it. */
static int64_t
tail_ms(const struct sim_worker *s, const struct sim_run *serving)
{
	const struct sim_run *r;
	int64_t parts = 100;

	LIST_FOREACH(r, &s->runs, entries)
		parts += r->fills ? r->pace : 0;
	return serving->target_ms * parts / 200;
}

static void
fill_report(
    struct jobs_world *w, struct sim_worker *s, struct renewal_report *r)
{
	struct sim_run *run;
	size_t n = 0;

	memset(r, 0, sizeof(*r));
	if (s->garbled_reports > 0) {
		s->garbled_reports--;
		r->unreadable_count++;
	}
	r->clock_ms = clock_ms(w, s);
	r->started_ms = START_MS + s->born_ms;
	LIST_FOREACH(run, &s->runs, entries)
		n++;
	r->running = calloc(n + 1, sizeof(*r->running));
	LIST_FOREACH(run, &s->runs, entries) {
		struct run_report *out;

		if (s->hidden_reports > 0 && run == LIST_FIRST(&s->runs)) {
			s->hidden_reports--;
			r->unreadable_count++;
			continue;
		}
		out = &r->running[r->running_count++];
		out->task = run->task;
		out->run = run->run;
		out->usage = tail_ms(s, run);
		out->progress_percent = run_percent(w, run);
		if (w->opts.text_max_bytes > 0 && run->checkpoints &&
		    w->ms - run->begun_ms >= run->saved_ms + CHECKPOINT_MS) {
			run->saved_ms = w->ms - run->begun_ms;
			save_value(w, run);
		}
		if (run->saved != NULL)
			out->checkpoint = view_of(run->saved);
	}
	r->ended_count =
	    s->ended_count < ENDS_LISTED_MAX ? s->ended_count : ENDS_LISTED_MAX;
	r->ended = calloc(r->ended_count + 1, sizeof(*r->ended));
	if (r->ended_count > 0)
		memcpy(r->ended, s->ended, r->ended_count * sizeof(*r->ended));
}

static void
answer_order(
    struct jobs_world *w, const struct message *m, enum command_result end)
{
	struct message *a;

	if (m->answer_lost || out_of_reach(&w->workers[m->worker], m->owner))
		return;
	a = message_new(
	    w, MESSAGE_ORDER_END, w->ms + w->opts.link_ms + jitter(w));
	a->owner = m->owner;
	a->worker = m->worker;
	a->task = m->task;
	a->run = m->run;
	a->end = end;
	a->fence = m->fence;
	a->asked_us = m->asked_us;
	a->clock_ms = clock_ms(w, &w->workers[m->worker]);
	a->has_report = false;
	a->serial = m->kind == MESSAGE_START;
}

/* True once a hold has been answered; it waits for an end until then. */
static bool
worker_hold(struct jobs_world *w, struct sim_worker *s, struct message *m)
{
	struct message *a;

	extend_lease(w, s, m->lease_end_ms);
	m->lease_end_ms = 0; /* once, also where the answer waits */
	note_ends(w, s, m->acked_end);
	m->acked_end = 0; /* it forgets no end that comes while it waits */
	if (s->ended_count == 0 && w->ms < m->until_ms)
		return false;
	if (m->answer_lost || out_of_reach(s, m->owner))
		return true;
	a = message_new(w, MESSAGE_HELD, w->ms + w->opts.link_ms + jitter(w));
	a->owner = m->owner;
	a->worker = m->worker;
	a->asked_us = m->asked_us;
	a->end = COMMAND_ACCEPTED;
	a->has_report = true;
	fill_report(w, s, &a->report);
	return true;
}

static void
answer_for_absent(struct jobs_world *w, const struct message *m)
{
	const struct sim_worker *s = &w->workers[m->worker];
	enum command_result end = s->is_over ? s->ended_as : COMMAND_UNSENT;
	struct message *a;

	if (m->kind != MESSAGE_HOLD) {
		answer_order(w, m, end);
		return;
	}
	a = message_new(w, MESSAGE_HELD, w->ms + w->opts.link_ms);
	a->owner = m->owner;
	a->worker = m->worker;
	a->asked_us = m->asked_us;
	a->end = end;
}

/* A restarted worker has the id that the order names. */
static bool
meant_for(const struct jobs_world *w, const struct sim_worker *s,
    const struct message *m)
{
	return s->born_ms == m->born_ms || w->late_orders_cross_restarts;
}

static bool
deliver_order(struct jobs_world *w, struct message *m)
{
	struct sim_worker *s = &w->workers[m->worker];
	enum command_result end;

	if ((s->is_over || s->refuses) && !out_of_reach(s, m->owner)) {
		answer_for_absent(w, m);
		return true;
	}
	if (!s->up || out_of_reach(s, m->owner) || !meant_for(w, s, m))
		return true; /* nobody there: no answer */
	if (m->fence < s->fence) {
		if (m->kind == MESSAGE_HOLD) {
			struct message *a = message_new(
			    w, MESSAGE_HELD, w->ms + w->opts.link_ms);

			a->owner = m->owner;
			a->worker = m->worker;
			a->fence = m->fence;
			a->asked_us = m->asked_us;
			a->end = COMMAND_FENCED;
			return true;
		}
		answer_order(w, m, COMMAND_FENCED);
		return true;
	}
	s->fence = m->fence;
	switch (m->kind) {
	case MESSAGE_START:
		end = worker_start(w, s, m);
		answer_order(w, m, end);
		return true;
	case MESSAGE_STOP:
		end = worker_stop(w, s, m);
		answer_order(w, m, end);
		return true;
	case MESSAGE_HOLD:
		return worker_hold(w, s, m);
	case MESSAGE_ORDER_END:
	case MESSAGE_HELD:
	case MESSAGE_WRITE:
		break;
	}
	return true;
}

static void feed_worker(struct jobs_world *w, int owner, int i);
static void unlist_worker(struct jobs_world *w, const char *id);

/* The other members of a gang end with the one that is lost. */
static void
break_gang(struct jobs_world *w, const struct sim_run *lost)
{
	struct sim_run *r, *next;
	int i;

	for (i = 0; i < w->opts.workers; i++) {
		for (r = LIST_FIRST(&w->workers[i].runs); r != NULL; r = next) {
			next = LIST_NEXT(r, entries);
			if (r != lost && r->task.step == lost->task.step &&
			    strcmp(r->task.job, lost->task.job) == 0)
				end_run(w, &w->workers[i], r, RUN_GANG_BROKEN);
		}
	}
}

/* A task crashes its worker, which comes back under another id. */
static bool
worker_crashes(struct jobs_world *w, int i)
{
	struct sim_worker *s = &w->workers[i];
	struct sim_run *r;

	LIST_FOREACH(r, &s->runs, entries) {
		if (r->crash_ms != 0 && w->ms >= r->crash_ms)
			break;
	}
	if (r == NULL)
		return false;
	trace(w, "%s crashes under %s run %lld", s->id, short_name(&r->task),
	    (long long)r->run);
	known_task(w, &r->task)->crashes++;
	if (r->gang)
		break_gang(w, r);
	if (w->opts.crash_dark)
		jobs_world_crash_worker(w, i);
	else
		jobs_world_end_worker(w, i, COMMAND_UNSENT);
	s->revive_ms = w->ms + w->opts.revive_ms;
	if (w->opts.revives_same_id)
		return true;
	memcpy(s->old_id, s->id, sizeof(s->old_id));
	s->old_entry_end_ms = w->ms + ENTRY_EXPIRY_MS;
	return true;
}

static void
worker_revives(struct jobs_world *w, int i)
{
	struct sim_worker *s = &w->workers[i];

	if (!w->opts.revives_same_id)
		snprintf(s->id, sizeof(s->id), "w-%d.%u", i, ++s->lives);
	start_life(w, s);
	s->listed = true;
	feed_worker(w, w->owner, i);
}

static void
lease_lapses(struct jobs_world *w, struct sim_worker *s, struct sim_run *r)
{
	if (r->stop_ms == 0 && !lease_disturbed(w, s))
		judge_order(w, s, r, "left to lapse");
	end_run(w, s, r, RUN_LEASE_EXPIRED);
}

static void
note_at_work(struct jobs_world *w, const struct sim_run *r)
{
	struct known_task *t;

	if (!r->lasting || r->stop_ms != 0 || run_percent(w, r) < 100)
		return;
	t = known_task(w, &r->task);
	t->at_work_ms = w->ms;
	t->ended_by_order = false;
}

static void
run_workers(struct jobs_world *w)
{
	struct sim_run *r, *next;
	struct sim_worker *s;
	int i;

	for (i = 0; i < w->opts.workers; i++) {
		s = &w->workers[i];
		if (s->old_entry_end_ms != 0 && w->ms >= s->old_entry_end_ms) {
			s->old_entry_end_ms = 0;
			unlist_worker(w, s->old_id);
		}
		if (s->revive_ms != 0 && w->ms >= s->revive_ms)
			worker_revives(w, i);
		if (!s->up || worker_crashes(w, i))
			continue;
		if (clock_ms(w, s) > s->lease_end_ms)
			s->lapsed_ms = w->ms;
		for (r = LIST_FIRST(&s->runs); r != NULL; r = next) {
			next = LIST_NEXT(r, entries);
			if (clock_ms(w, s) > s->lease_end_ms)
				lease_lapses(w, s, r);
			else if (r->stop_ms != 0 && w->ms >= r->stop_ms)
				end_run(w, s, r, RUN_STOPPED);
			else if (w->ms >= r->ends_ms)
				end_run(
				    w, s, r, r->fails ? RUN_FAILED : RUN_DONE);
			else
				note_at_work(w, r);
		}
	}
}

/* --- owners --- */

static void step(struct jobs_world *w, int owner, struct pool_event *ev);

static int
worker_index(const struct jobs_world *w, const char *id)
{
	int i;

	for (i = 0; i < w->opts.workers; i++) {
		if (strcmp(w->workers[i].id, id) == 0)
			return i;
	}
	return -1;
}

/* Time until the owner's link has sent an order behind those before it. */
static int64_t
link_queue_ms(struct jobs_world *w, enum message_kind kind)
{
	if (w->opts.link_bytes_per_ms == 0)
		return 0;
	if (w->link_free_ms < (double)w->ms)
		w->link_free_ms = (double)w->ms;
	w->link_free_ms +=
	    (double)(kind == MESSAGE_START ? START_BYTES : ORDER_BYTES) /
	    w->opts.link_bytes_per_ms;
	return (int64_t)(w->link_free_ms - (double)w->ms);
}

static struct message *
send_order(struct jobs_world *w, int owner, enum message_kind kind,
    const struct worker_target *to)
{
	int i = worker_index(w, to->id);
	int64_t at = w->ms + w->opts.link_ms + jitter(w);
	struct message *m;

	if (i < 0)
		return NULL;
	m = message_new(w, kind, at + link_queue_ms(w, kind));
	m->owner = owner;
	m->worker = i;
	m->born_ms = w->workers[i].born_ms;
	m->fence = to->fence;
	m->asked_us = w->ms * US_PER_MS;
	if (chance(w) < w->opts.late) {
		m->at_ms += LATE_MIN_MS +
		    (int64_t)(chance(w) * (LATE_MAX_MS - LATE_MIN_MS));
		m->answer_lost = m->held_up = true;
	} else if (chance(w) < w->opts.lose) {
		m->answer_lost = true;
	}
	return m;
}

/* The owner's own time-out, if no answer has come by then. */
static void
time_out(struct jobs_world *w, const struct message *m, int ms)
{
	struct message *a;

	a = message_new(w,
	    m->kind == MESSAGE_HOLD ? MESSAGE_HELD : MESSAGE_ORDER_END,
	    w->ms + ms);
	a->owner = m->owner;
	a->worker = m->worker;
	a->task = m->task;
	a->run = m->run;
	a->end = COMMAND_UNANSWERED;
	a->asked_us = m->asked_us;
	a->serial = m->kind == MESSAGE_START;
}

/* No connection to the worker is made, nor refused. */
static bool
in_the_dark(const struct jobs_world *w, const struct message *m)
{
	const struct sim_worker *s = &w->workers[m->worker];

	return out_of_reach(s, m->owner) ||
	    (!s->up && !s->is_over && !s->refuses);
}

/* The owner gives the order up before a connection is made. */
static void
time_out_unsent(struct jobs_world *w, struct message *m, int ms)
{
	time_out(w, m, ms);
	LIST_FIRST(&w->messages)->end = COMMAND_UNSENT;
	LIST_REMOVE(m, entries);
	message_free(m);
}

static void
write_record(struct jobs_world *w, int owner, const struct pool_effect *x)
{
	struct message *m;

	if (w->opts.record_max_bytes > 0 && x->u.write.value != NULL &&
	    x->u.write.value->len > w->opts.record_max_bytes)
		blame(w, &w->verdict.lost, "a record of %zu bytes",
		    x->u.write.value->len);
	m = message_new(w, MESSAGE_WRITE, w->ms + w->opts.store_ms);
	m->owner = owner;
	memcpy(m->key, x->u.write.key, sizeof(m->key));
	m->value = x->u.write.value != NULL ? buf_ref(x->u.write.value) : NULL;
	m->serial = x->u.write.serial;
}

static void
take_answer(struct jobs_world *w, const struct pool_effect *x)
{
	struct known_job *j = w->tokens[x->u.answer.token];

	switch (x->u.answer.answer) {
	case POOL_ACCEPTED:
		if (!j->accepted)
			w->accepted++;
		j->accepted = true;
		j->retry_ms = 0;
		trace(w, "caller of %llu: accepted", strtoull(j->id, NULL, 16));
		break;
	case POOL_OVERLOADED:
		w->refused++;
		j->retry_ms = x->u.answer.retry_ms;
		trace(w, "caller of %llu: refused, again after %d ms",
		    strtoull(j->id, NULL, 16), x->u.answer.retry_ms);
		break;
	case POOL_CANCELLING:
		j->cancel_ms = w->ms;
		trace(
		    w, "caller of %llu: cancelled", strtoull(j->id, NULL, 16));
		break;
	case POOL_JOB_STATE:
		w->looked_state = x->u.answer.state;
		break;
	case POOL_NO_JOB:
		w->looked_state = -1;
		break;
	case POOL_WAITING_COUNT:
		break;
	}
}

static void
ask_policy(struct jobs_world *w, const struct pool_effect *x)
{
	size_t bytes =
	    x->u.policy_query.count * sizeof(x->u.policy_query.workers[0]);

	if (w->answer_ms != 0)
		free(w->question.u.policy_query.workers);
	w->question = *x;
	w->question.u.policy_query.workers = malloc(bytes + 1);
	memcpy(w->question.u.policy_query.workers, x->u.policy_query.workers,
	    bytes);
	w->answer_ms = w->ms + w->opts.policy_ms;
}

static void
pace_run(struct jobs_world *w, const struct pool_effect *x)
{
	int i = worker_index(w, x->u.command.worker.id);
	struct sim_run *r = NULL;

	trace(w, "%s is told to run %s at %d%%", x->u.command.worker.id,
	    short_name(&x->u.command.task), x->u.command.percent);
	if (i >= 0)
		r = find_run(&w->workers[i], &x->u.command.task);
	if (r != NULL)
		r->pace = x->u.command.percent;
}

static void
run_effect(struct jobs_world *w, int owner, const struct pool_effect *x)
{
	struct message *m;

	switch (x->kind) {
	case POOL_START:
		m = send_order(w, owner, MESSAGE_START, &x->u.start.worker);
		if (m == NULL)
			return;
		m->task = x->u.start.task;
		m->run = x->u.start.run;
		m->spec = job_spec_ref(x->u.start.spec);
		m->lease_end_ms = x->u.start.lease_end_ms;
		m->saved = buf_ref(x->u.start.checkpoint);
		m->ticket = buf_ref(x->u.start.ticket);
		time_out(w, m, ORDER_TIMEOUT_MS);
		break;
	case POOL_STOP:
		m = send_order(w, owner, MESSAGE_STOP, &x->u.command.worker);
		if (m == NULL)
			return;
		m->task = x->u.command.task;
		m->run = x->u.command.run;
		time_out(w, m, ORDER_TIMEOUT_MS);
		break;
	case POOL_RENEW:
		m = send_order(w, owner, MESSAGE_HOLD, &x->u.renewal.worker);
		if (m == NULL)
			return;
		m->acked_end = x->u.renewal.acked_end;
		m->lease_end_ms = x->u.renewal.lease_end_ms;
		m->until_ms = w->ms + x->u.renewal.wait_ms;
		w->renewals++;
		if (x->u.renewal.connect_ms > 0 && in_the_dark(w, m))
			time_out_unsent(w, m, x->u.renewal.connect_ms);
		else
			time_out(w, m, x->u.renewal.wait_ms + HOLD_TIMEOUT_MS);
		break;
	case POOL_WRITE:
		write_record(w, owner, x);
		break;
	case POOL_ANSWER:
		take_answer(w, x);
		break;
	case POOL_LOG:
		if (getenv("JOBS_WORLD_LOG") != NULL)
			fprintf(stderr, "%6lld owner=%d %s\n", (long long)w->ms,
			    owner, x->u.log.line);
		break;
	case POOL_QUERY_POLICY:
		trace(w, "policy is asked of step %u and %zu workers",
		    x->u.policy_query.step.step, x->u.policy_query.count);
		ask_policy(w, x);
		break;
	case POOL_THROTTLE:
		pace_run(w, x);
		break;
	case POOL_CHECK_LIVENESS:
		w->owners[owner].census_ms = w->ms + 2 * w->opts.link_ms;
		break;
	}
}

/* Answers for the workers named that it allows. */
static void
run_policy(struct jobs_world *w)
{
	struct pool_event ev = {.kind = POOL_POLICY_ANSWER};
	struct step_ticket list[POOL_POLICY_WORKERS_MAX], *t;
	struct buf *tickets[POOL_POLICY_WORKERS_MAX] = {NULL};
	size_t i;

	if (w->answer_ms == 0 || w->ms < w->answer_ms)
		return;
	w->answer_ms = 0;
	ev.u.policy_answer.step = w->question.u.policy_query.step;
	ev.u.policy_answer.ok = true;
	ev.u.policy_answer.valid_ms = 3000;
	ev.u.policy_answer.tickets = list;
	for (i = 0; i < w->question.u.policy_query.count; i++) {
		if (atoi(w->question.u.policy_query.workers[i] + strlen("w-")) <
		    w->opts.allowed_from)
			continue;
		t = &list[ev.u.policy_answer.count];
		snprintf(t->worker, NAME_BYTES, "%s",
		    w->question.u.policy_query.workers[i]);
		tickets[ev.u.policy_answer.count] =
		    ticket_of(w, &ev.u.policy_answer.step, t->worker);
		t->ticket = view_of(tickets[ev.u.policy_answer.count++]);
		t->usable = true;
	}
	free(w->question.u.policy_query.workers);
	step(w, w->owner, &ev);
	for (i = 0; i < ev.u.policy_answer.count; i++)
		buf_unref(tickets[i]);
}

static int
compare_ids(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* The platform names workers that live, cut off or not. */
static void
run_census(struct jobs_world *w, int owner)
{
	struct pool_event ev = {.kind = POOL_LIVENESS_LIST};
	char ids[JOBS_WORLD_WORKERS][NAME_BYTES];
	int i;

	if (w->owners[owner].census_ms == 0 ||
	    w->ms < w->owners[owner].census_ms)
		return;
	w->owners[owner].census_ms = 0;
	for (i = 0; i < w->opts.workers; i++) {
		if (w->workers[i].lists_missing > 0)
			w->workers[i].lists_missing--;
		else if (w->workers[i].up)
			memcpy(ids[ev.u.liveness.count++], w->workers[i].id,
			    NAME_BYTES);
	}
	qsort(ids, ev.u.liveness.count, sizeof(ids[0]), compare_ids);
	ev.u.liveness.complete = !w->census_unreadable;
	ev.u.liveness.sorted_ids = (const char(*)[NAME_BYTES])ids;
	step(w, owner, &ev);
}

static void
step(struct jobs_world *w, int owner, struct pool_event *ev)
{
	struct owner *o = &w->owners[owner];
	struct pool_effects fx;
	size_t i;

	if (!o->alive || w->ms < o->suspended_until_ms)
		return;
	if (o->cut_ms != 0 && w->ms - o->cut_ms > GIVE_UP_MS) {
		o->alive = false;
		return;
	}
	ev->now_us = w->ms * US_PER_MS;
	ev->loop_lag_us = w->lag_us;
	ev->ownership_confirmed_us =
	    (o->cut_ms != 0 ? o->cut_ms : w->ms) * US_PER_MS;
	ev->now_ms = START_MS + w->ms + w->step_ms;
	ev->workers_guarded = w->opts.guarded || w->opts.said_guarded;
	ev->entries_read_us =
	    (w->entries_away_ms != 0 ? w->entries_away_ms : w->ms) * US_PER_MS;
	memset(&fx, 0, sizeof(fx));
	if (w->opts.timed)
		w->step_us -= cpu_us();
	pool_step(o->pool, ev, &fx);
	if (w->opts.timed)
		w->step_us += cpu_us();
	for (i = 0; i < fx.count; i++)
		run_effect(w, owner, &fx.list[i]);
	pool_effects_uninit(&fx);
}

/* "started_ms" is Unix time; 0: the entry does not have it. */
static void
feed_entry(struct jobs_world *w, int owner, int i, int64_t started_ms)
{
	struct pool_event ev = {.kind = POOL_WORKER_ENTRY};
	struct sim_worker *s = &w->workers[i];
	struct worker_report r;

	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "%s", s->id);
	snprintf(r.pool, sizeof(r.pool), "pool");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.%d", i + 1);
	r.port = 80;
	r.started_ms = started_ms;
	r.cpu_milli = s->cpu;
	r.memory_mb = w->opts.memory_mb;
	r.accelerators = w->opts.accelerators;
	r.draining = s->draining;
	r.label_count = 2;
	snprintf(r.labels[0], NAME_BYTES, "kind");
	snprintf(r.labels[1], NAME_BYTES, "rack-%d", i / 4);
	r.clock_ms = clock_ms(w, s);
	ev.u.worker.report = &r;
	step(w, owner, &ev);
}

static void
feed_worker(struct jobs_world *w, int owner, int i)
{
	feed_entry(w, owner, i, START_MS + w->workers[i].born_ms);
}

static void
found_order(void *arg, const struct job_spec_record *r)
{
	struct jobs_world *w = arg;
	struct known_job *j = NULL, *each;
	struct owner *o = &w->owners[w->owner];
	struct stored *progress;
	char key[JOB_KEY_BYTES];
	struct err e;

	for (each = w->jobs; each != NULL; each = each->hh.next) {
		if (strlen(each->id) == r->text_len &&
		    memcmp(each->id, r->text, r->text_len) == 0)
			j = each;
	}
	if (j == NULL)
		return;
	job_progress_key(key, j->id);
	HASH_FIND_STR(w->records, key, progress);
	pool_load_job(o->pool, j->id, r, j->spec,
	    progress != NULL ? progress->value : NULL, &e);
}

static void
load_caps(struct jobs_world *w, struct pool *pool)
{
	char account[NAME_BYTES];
	struct stored *r;
	struct err e;

	for (r = w->records; r != NULL; r = r->hh.next) {
		if (share_key_account(r->key, account) ||
		    strcmp(r->key, KEY_CAP_CONTROLLER) == 0)
			pool_load_cap_record(
			    pool, r->key, r->value->data, r->value->len, &e);
	}
}

static void
change_account(
    struct jobs_world *w, int owner, const struct account_settings *settings)
{
	struct pool_event ev = {.kind = POOL_ACCOUNT_CHANGE};

	ev.u.account_change.settings = settings;
	step(w, owner, &ev);
}

static void
owner_begin(struct jobs_world *w)
{
	struct owner *o = &w->owners[w->owner];
	struct pool_event ev = {.kind = POOL_LOADED};
	struct pool_opts opts = {
	    .name = "pool",
	    .fence = w->owner + 1,
	    .now_us = w->ms * US_PER_MS,
	    .now_ms = START_MS + w->ms + w->step_ms,
	    .lease_ms = LEASE_MS,
	    .lease_max_ms = LEASE_MAX_MS,
	    .reconcile_max_ms = w->owner > 0 ? SETTLE_MS : 0,
	    .status_retention_ms = STATUS_KEEP_MS,
	    .stop_max_ms = STOP_MS,
	    .capacity_valid_ms = CONTACT_MS,
	    .restore_ms = RESTORE_MS,
	    .remote_factor = 2,
	    .record_max_bytes = w->opts.record_max_bytes,
	    .checkpoints_max_bytes = w->opts.texts_max_bytes,
	    .tickets_max_bytes = w->opts.texts_max_bytes,
	    .select_by_cost = w->opts.select_by_cost,
	};
	char id[NAME_BYTES];
	struct stored *r;
	struct err e;
	int i;

	o->pool = pool_new(&opts);
	o->fence = opts.fence;
	load_caps(w, o->pool);
	o->alive = true;
	for (r = w->records; r != NULL; r = r->hh.next) {
		if (strncmp(r->key, "j/", 2) == 0)
			job_spec_decode(
			    r->value->data, r->value->len, &e, found_order, w);
		else if (worker_key_id(r->key, id))
			pool_load_worker(
			    o->pool, id, r->value->data, r->value->len, &e);
	}
	for (i = 0; i < w->opts.workers; i++) {
		if (w->workers[i].listed)
			feed_worker(w, w->owner, i);
	}
	for (i = 0; i < (int)w->account_count; i++)
		change_account(w, w->owner, &w->accounts[i]);
	step(w, w->owner, &ev);
}

static void
store_record(struct jobs_world *w, struct message *m)
{
	struct stored *r;

	HASH_FIND_STR(w->records, m->key, r);
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		memcpy(r->key, m->key, sizeof(r->key));
		HASH_ADD_STR(w->records, key, r);
	}
	buf_unref(r->value);
	r->value = m->value;
	m->value = NULL;
	if (r->value == NULL) {
		HASH_DEL(w->records, r);
		free(r);
	}
}

/* True once it has been taken or refused for good. */
static bool
deliver_write(struct jobs_world *w, struct message *m)
{
	struct pool_event ev = {.kind = POOL_STORED};
	struct owner *o = &w->owners[m->owner];

	if (m->owner != w->owner || !o->alive)
		return true; /* fenced, or died with its owner */
	if (w->store_down)
		return false;
	store_record(w, m);
	ev.u.stored.serial = m->serial;
	step(w, m->owner, &ev);
	return true;
}

static bool
same_task(const struct task_name *a, const struct task_name *b)
{
	return strcmp(a->job, b->job) == 0 && a->occurrence == b->occurrence &&
	    a->step == b->step && a->index == b->index;
}

/* An answer, or the owner's time-out; the second of the two is void. */
static void
deliver_answer(struct jobs_world *w, struct message *m)
{
	struct message *other, *next;
	struct pool_event ev;

	for (other = LIST_FIRST(&w->messages); other != NULL; other = next) {
		next = LIST_NEXT(other, entries);
		if (other == m || other->kind != m->kind ||
		    other->owner != m->owner || other->worker != m->worker ||
		    other->asked_us != m->asked_us ||
		    other->serial != m->serial ||
		    !same_task(&other->task, &m->task))
			continue;
		LIST_REMOVE(other, entries);
		message_free(other);
	}
	memset(&ev, 0, sizeof(ev));
	if (m->end == COMMAND_FENCED &&
	    m->fence >= pool_worker_fence(
			    w->owners[m->owner].pool, w->workers[m->worker].id))
		w->owners[m->owner].alive = false;
	if (m->kind == MESSAGE_HELD) {
		ev.kind = POOL_RENEWAL_DONE;
		snprintf(ev.u.renewal.worker, NAME_BYTES, "%s",
		    w->workers[m->worker].id);
		ev.u.renewal.sent_us = m->asked_us;
		ev.u.renewal.report = m->has_report ? &m->report : NULL;
		ev.u.renewal.result = m->end;
	} else {
		ev.kind = m->serial ? POOL_START_DONE : POOL_STOP_DONE;
		snprintf(ev.u.command.worker, NAME_BYTES, "%s",
		    w->workers[m->worker].id);
		ev.u.command.task = m->task;
		ev.u.command.run = m->run;
		ev.u.command.result = m->end;
		ev.u.command.clock_ms = m->clock_ms;
	}
	step(w, m->owner, &ev);
}

/* The message waits for an owner that is suspended, or whose loop is late. */
static bool
owner_stalled(const struct jobs_world *w, const struct message *m)
{
	switch (m->kind) {
	case MESSAGE_START:
	case MESSAGE_STOP:
	case MESSAGE_HOLD:
		return false;
	case MESSAGE_ORDER_END:
	case MESSAGE_HELD:
	case MESSAGE_WRITE:
		break;
	}
	return w->ms < w->owners[m->owner].stalled_until_ms ||
	    w->ms < w->owners[m->owner].suspended_until_ms;
}

/* Time-outs of a loop that stood still run before it reads answers. */
static bool
runs_first(const struct jobs_world *w, const struct message *m)
{
	return !w->opts.answers_first &&
	    (m->kind == MESSAGE_ORDER_END || m->kind == MESSAGE_HELD) &&
	    m->end == COMMAND_UNANSWERED &&
	    m->at_ms <= w->owners[m->owner].stalled_until_ms;
}

static bool
comes_before(const struct jobs_world *w, const struct message *a,
    const struct message *b)
{
	if (runs_first(w, a) != runs_first(w, b))
		return runs_first(w, a);
	return a->at_ms <= b->at_ms;
}

/* Delivers what is due, in the order of time. */
static void
deliver(struct jobs_world *w)
{
	struct message *m, *due;
	bool done = true;

	for (;;) {
		due = NULL;
		LIST_FOREACH(m, &w->messages, entries) {
			if (m->at_ms <= w->ms && !owner_stalled(w, m) &&
			    (due == NULL || comes_before(w, m, due)))
				due = m;
		}
		if (due == NULL)
			return;
		switch (due->kind) {
		case MESSAGE_START:
		case MESSAGE_STOP:
		case MESSAGE_HOLD:
			done = deliver_order(w, due);
			break;
		case MESSAGE_ORDER_END:
		case MESSAGE_HELD:
			if (w->ms < w->answers_read_ms) {
				due->at_ms = w->answers_read_ms;
				continue;
			}
			LIST_REMOVE(due, entries);
			deliver_answer(w, due);
			message_free(due);
			continue;
		case MESSAGE_WRITE:
			done = deliver_write(w, due);
			break;
		}
		if (done) {
			LIST_REMOVE(due, entries);
			message_free(due);
		} else {
			due->at_ms = w->ms + 1;
		}
	}
}

/* Notes when jobs are shown as completed. */
static void
look_at_jobs(struct jobs_world *w)
{
	struct known_job *j;

	for (j = w->jobs; j != NULL; j = j->hh.next) {
		if (j->accepted && j->done_ms == 0 &&
		    jobs_world_state(w, j->id) == JOB_COMPLETED)
			j->done_ms = w->ms;
	}
}

void
jobs_world_run(struct jobs_world *w, int ms)
{
	struct pool_event ev = {.kind = POOL_TICK};
	bool stalled;
	int i;

	while (ms-- > 0) {
		w->ms++;
		stalled = w->ms < w->owners[w->owner].stalled_until_ms;
		if (w->ms % LOOK_MS == 0 && !stalled)
			look_at_jobs(w);
		run_workers(w);
		if (!stalled)
			run_policy(w);
		deliver(w);
		for (i = 0; i <= w->owner; i++) {
			if (w->ms < w->owners[i].stalled_until_ms)
				continue;
			run_census(w, i);
			if (w->owners[i].alive &&
			    pool_next_us(w->owners[i].pool) <=
				w->ms * US_PER_MS)
				step(w, i, &ev);
		}
	}
}

struct jobs_world *
jobs_world_new(const struct jobs_world_opts *opts)
{
	struct jobs_world *w = calloc(1, sizeof(*w));
	int i;

	w->opts = *opts;
	w->random = opts->seed * 2654435761u + 88172645463325252u;
	w->ms = 1;
	w->terms = usual_terms;
	LIST_INIT(&w->messages);
	for (i = 0; i < opts->workers; i++) {
		snprintf(w->workers[i].id, NAME_BYTES, "w-%d", i);
		start_life(w, &w->workers[i]);
		w->workers[i].cpu = opts->cpu;
		w->workers[i].listed = true;
		LIST_INIT(&w->workers[i].runs);
	}
	owner_begin(w);
	jobs_world_run(w, 100);
	return w;
}

void
jobs_world_free(struct jobs_world *w)
{
	struct known_job *j, *next_job;
	struct known_task *t, *next_task;
	struct known_value *v;
	struct stored *r, *next;
	struct message *m;
	int i;

	while ((m = LIST_FIRST(&w->messages)) != NULL) {
		LIST_REMOVE(m, entries);
		message_free(m);
	}
	for (i = 0; i < w->opts.workers; i++)
		worker_forget(&w->workers[i]);
	for (i = 0; i <= w->owner; i++)
		pool_free(w->owners[i].pool);
	HASH_ITER(hh, w->jobs, j, next_job)
	{
		HASH_DEL(w->jobs, j);
		job_spec_unref(j->spec);
		free(j);
	}
	HASH_ITER(hh, w->tasks, t, next_task)
	{
		HASH_DEL(w->tasks, t);
		while ((v = LIST_FIRST(&t->values)) != NULL) {
			LIST_REMOVE(v, entries);
			buf_unref(v->value);
			free(v);
		}
		free(t);
	}
	HASH_ITER(hh, w->records, r, next)
	{
		HASH_DEL(w->records, r);
		buf_unref(r->value);
		free(r);
	}
	free(w->tokens);
	free(w->accounts);
	free(w);
}

int64_t
jobs_world_ms(const struct jobs_world *w)
{
	return w->ms;
}

struct job_spec *
jobs_order(int steps, unsigned count, int64_t cpu, int64_t estimate_ms)
{
	struct job_spec *o = job_spec_new((size_t)steps);
	int i;

	o->task_spec = strdup("spec");
	for (i = 0; i < steps; i++) {
		o->steps[i].task_count = count;
		o->steps[i].cpu_milli = cpu;
		o->steps[i].memory_mb = 100;
		o->steps[i].estimate_ms = estimate_ms;
		if (i == 0)
			continue;
		o->steps[i].depends_on = calloc(1, sizeof(unsigned));
		o->steps[i].depends_on[0] = (unsigned)i - 1;
		o->steps[i].depends_on_count = 1;
	}
	return o;
}

static uint64_t
token_new(struct jobs_world *w, struct known_job *j)
{
	w->tokens =
	    realloc(w->tokens, (w->token_count + 1) * sizeof(*w->tokens));
	w->tokens[w->token_count] = j;
	return w->token_count++;
}

void
jobs_world_submit_again(
    struct jobs_world *w, struct job_spec *job_spec, const char *id)
{
	/* the text names the order, for the records of a take-over */
	struct buf *text = buf_from(id, strlen(id));
	struct pool_event ev = {.kind = POOL_SUBMIT};
	struct known_job *j = known_job(w, id);

	ev.u.submit.token = token_new(w, j);
	snprintf(ev.u.submit.id, JOB_ID_BYTES, "%s", id);
	w->terms.has_policy = w->opts.allowed_from > 0;
	memcpy(ev.u.submit.account, j->account, NAME_BYTES);
	ev.u.submit.queue = &w->terms;
	ev.u.submit.spec = job_spec;
	ev.u.submit.text = text;
	ev.u.submit.refuse_ms = w->refuse_ms;
	step(w, w->owner, &ev);
	buf_unref(text);
}

void
jobs_world_submit(
    struct jobs_world *w, struct job_spec *job_spec, char id[JOB_ID_BYTES])
{
	struct known_job *j = calloc(1, sizeof(*j));

	snprintf(
	    j->id, sizeof(j->id), "%016llx", (unsigned long long)++w->next_id);
	j->spec = job_spec_ref(job_spec);
	j->first_ms = w->ms;
	memcpy(j->account, w->caller, sizeof(j->account));
	HASH_ADD_STR(w->jobs, id, j);
	if (id != NULL)
		memcpy(id, j->id, JOB_ID_BYTES);
	jobs_world_submit_again(w, job_spec, j->id);
}

static void
ask(struct jobs_world *w, enum pool_event_kind kind, const char *id)
{
	struct pool_event ev = {.kind = kind};

	ev.u.job.token = token_new(w, known_job(w, id));
	snprintf(ev.u.job.id, JOB_ID_BYTES, "%s", id);
	step(w, w->owner, &ev);
}

void
jobs_world_cancel(struct jobs_world *w, const char *id)
{
	struct known_job *j = known_job(w, id);

	if (j != NULL && j->cancel_sent_ms == 0)
		j->cancel_sent_ms = w->ms;
	ask(w, POOL_CANCEL, id);
}

int
jobs_world_state(struct jobs_world *w, const char *id)
{
	w->looked_state = -2;
	ask(w, POOL_JOB_QUERY, id);
	return w->looked_state;
}

int
jobs_world_retry_ms(const struct jobs_world *w, const char *id)
{
	const struct known_job *j;

	HASH_FIND_STR(w->jobs, id, j);
	return j != NULL ? j->retry_ms : 0;
}

int64_t
jobs_world_took_ms(const struct jobs_world *w, const char *id)
{
	const struct known_job *j;

	HASH_FIND_STR(w->jobs, id, j);
	return j != NULL && j->done_ms != 0 ? j->done_ms - j->first_ms : -1;
}

int
jobs_world_accepted(const struct jobs_world *w)
{
	return w->accepted;
}

int
jobs_world_refused(const struct jobs_world *w)
{
	return w->refused;
}

void
jobs_world_entries(struct jobs_world *w, bool read)
{
	int i;

	w->entries_away_ms = read ? 0 : w->ms;
	for (i = 0; read && i < w->opts.workers; i++) {
		if (w->workers[i].listed)
			feed_worker(w, w->owner, i);
	}
}

void
jobs_world_room(struct jobs_world *w, int worker, int64_t cpu)
{
	struct sim_worker *s = &w->workers[worker];

	s->cpu_before = s->cpu;
	s->cpu = cpu;
	s->cpu_changed_ms = w->ms;
	if (s->listed && w->entries_away_ms == 0)
		feed_worker(w, w->owner, worker);
}

void
jobs_world_cut_worker(struct jobs_world *w, int worker, bool cut)
{
	w->workers[worker].cut = cut;
	w->workers[worker].disturbed_ms = w->ms;
}

static void
note_lost_worker(struct jobs_world *w, int worker)
{
	const struct sim_run *r;
	struct known_task *t;
	struct known_job *j;

	LIST_FOREACH(r, &w->workers[worker].runs, entries) {
		t = known_task(w, &r->task);
		j = known_job(w, r->task.job);
		if (++t->lost_workers >= LOST_WORKERS_GIVE_UP && j != NULL)
			j->may_be_given_up = true;
	}
}

void
jobs_world_crash_worker(struct jobs_world *w, int worker)
{
	note_lost_worker(w, worker);
	worker_forget(&w->workers[worker]);
	w->workers[worker].up = false;
}

void
jobs_world_end_worker(struct jobs_world *w, int worker, enum command_result end)
{
	jobs_world_crash_worker(w, worker);
	w->workers[worker].is_over = true;
	w->workers[worker].ended_as = end;
}

void
jobs_world_clock_step(struct jobs_world *w, int64_t ms)
{
	w->step_ms = ms;
}

void
jobs_world_lose(struct jobs_world *w, double lose)
{
	w->opts.lose = lose;
	w->orders_disturbed_ms = w->ms;
}

void
jobs_world_late(struct jobs_world *w, double late)
{
	w->opts.late = late;
	w->orders_disturbed_ms = w->ms;
}

void
jobs_world_refuse_worker(struct jobs_world *w, int worker, bool refuse)
{
	w->workers[worker].refuses = refuse;
	w->workers[worker].disturbed_ms = w->ms;
}

void
jobs_world_census(struct jobs_world *w, bool readable)
{
	w->census_unreadable = !readable;
}

void
jobs_world_restart_worker(struct jobs_world *w, int worker)
{
	struct sim_worker *s = &w->workers[worker];

	note_lost_worker(w, worker);
	worker_forget(s);
	start_life(w, s);
	if (s->listed)
		feed_worker(w, w->owner, worker);
}

void
jobs_world_drain_worker(struct jobs_world *w, int worker, int ms)
{
	(void)ms;
	w->workers[worker].draining = true;
	feed_worker(w, w->owner, worker);
}

static void
unlist_worker(struct jobs_world *w, const char *id)
{
	struct pool_event ev = {.kind = POOL_WORKER_UNLISTED};

	snprintf(ev.u.unlisted.id, NAME_BYTES, "%s", id);
	step(w, w->owner, &ev);
}

void
jobs_world_list_worker(struct jobs_world *w, int worker, bool listed)
{
	w->workers[worker].listed = listed;
	if (listed)
		feed_worker(w, w->owner, worker);
	else
		unlist_worker(w, w->workers[worker].id);
}

void
jobs_world_deadly(
    struct jobs_world *w, const char *id, unsigned step, unsigned index)
{
	struct task_name n = {.step = step, .index = index};

	memcpy(n.job, id, JOB_ID_BYTES);
	known_task(w, &n)->deadly = true;
	known_job(w, id)->deadly = true;
}

int
jobs_world_crashes(
    struct jobs_world *w, const char *id, unsigned step, unsigned index)
{
	struct task_name n = {.step = step, .index = index};

	memcpy(n.job, id, JOB_ID_BYTES);
	return known_task(w, &n)->crashes;
}

static void
send_cordon(struct jobs_world *w, int worker, struct pool_event *ev)
{
	ev->kind = POOL_CORDON;
	snprintf(ev->u.cordon.id, NAME_BYTES, "%s", w->workers[worker].id);
	step(w, w->owner, ev);
}

void
jobs_world_cordon_worker(struct jobs_world *w, int worker)
{
	struct pool_event ev = {.u.cordon.evacuate = true};

	send_cordon(w, worker, &ev);
}

void
jobs_world_side(struct jobs_world *w, int worker, int side)
{
	w->workers[worker].side = side;
	w->workers[worker].disturbed_ms = w->ms;
}

void
jobs_world_due_worker(struct jobs_world *w, int worker)
{
	struct pool_event ev = {.u.cordon.maintenance_pending = true};

	send_cordon(w, worker, &ev);
}

void
jobs_world_coming(struct jobs_world *w, size_t count, int within_ms)
{
	struct pool_event ev = {.kind = POOL_INCOMING,
	    .u.incoming = {.count = count, .within_ms = within_ms}};

	step(w, w->owner, &ev);
}

double
jobs_world_step_us(const struct jobs_world *w)
{
	return w->step_us;
}

void
jobs_world_report_removed(struct jobs_world *w, int worker, int age_ms)
{
	struct pool_event ev = {
	    .u.cordon = {.machine_removed = true, .age_ms = age_ms}};

	send_cordon(w, worker, &ev);
}

void
jobs_world_take_worker(struct jobs_world *w, int worker)
{
	jobs_world_crash_worker(w, worker);
	jobs_world_report_removed(w, worker, 0);
}

void
jobs_world_terms(struct jobs_world *w, const struct queue_settings *terms)
{
	w->terms = *terms;
}

void
jobs_world_lag(struct jobs_world *w, int ms)
{
	w->lag_us = ms * US_PER_MS;
}

void
jobs_world_stall(struct jobs_world *w, int ms)
{
	w->owners[w->owner].stalled_until_ms = w->ms + ms;
}

void
jobs_world_refuse(struct jobs_world *w, int retry_ms)
{
	w->refuse_ms = retry_ms;
}

void
jobs_world_store(struct jobs_world *w, bool down)
{
	w->store_down = down;
}

void
jobs_world_take_over(struct jobs_world *w, int zombie_ms)
{
	struct owner *before = &w->owners[w->owner];

	if (w->owner + 1 == OWNERS_MAX)
		return;
	if (zombie_ms > 0)
		before->cut_ms = w->ms;
	else
		before->alive = false;
	w->owner++;
	owner_begin(w);
}

size_t
jobs_world_tasks_on(const struct jobs_world *w, int worker)
{
	const struct sim_run *r;
	size_t n = 0;

	LIST_FOREACH(r, &w->workers[worker].runs, entries)
		n++;
	return n;
}

struct pool *
jobs_world_pool(struct jobs_world *w)
{
	return w->owners[w->owner].pool;
}

size_t
jobs_world_completed(const struct jobs_world *w, int64_t *ms, size_t room)
{
	const struct known_job *j;
	size_t n = 0;

	for (j = w->jobs; j != NULL; j = j->hh.next) {
		if (j->done_ms != 0 && n < room)
			ms[n++] = j->done_ms - j->first_ms;
	}
	return n;
}

uint64_t
jobs_world_renewals(const struct jobs_world *w)
{
	return w->renewals;
}

uint64_t
jobs_world_starts(const struct jobs_world *w)
{
	return w->starts;
}

void
jobs_world_judge(struct jobs_world *w, struct jobs_verdict *v)
{
	struct known_job *j;
	int state;

	for (j = w->jobs; j != NULL; j = j->hh.next) {
		if (!j->accepted)
			continue;
		state = jobs_world_state(w, j->id);
		if (state == -1)
			blame(w, &w->verdict.lost, "job %s is unknown", j->id);
		else if (state == JOB_CANCELLED && j->cancel_ms == 0)
			blame(w, &w->verdict.lost, "job %s cancelled by nobody",
			    j->id);
		else if (state == JOB_FAILED && j->may_be_given_up)
			w->verdict.given_up += !j->deadly;
		else if (state == JOB_FAILED && w->opts.fail == 0)
			blame(w, &w->verdict.lost,
			    "job %s failed without cause", j->id);
		else if (state < JOB_COMPLETED &&
		    !job_spec_long_running(j->spec))
			blame(w, &w->verdict.unfinished,
			    "job %s is in state %d", j->id, state);
	}
	*v = w->verdict;
}

size_t
jobs_world_unanswered(struct jobs_world *w)
{
	struct pool_stats st;

	pool_stats(w->owners[w->owner].pool, &st);
	return st.starts_in_flight;
}

void
jobs_world_answers_wait(struct jobs_world *w, int ms)
{
	w->answers_read_ms = w->ms + ms;
}

void
jobs_world_jitter(struct jobs_world *w, int ms)
{
	w->jitter_ms = ms;
}

void
jobs_world_garble(struct jobs_world *w, int worker, int reports)
{
	w->workers[worker].garbled_reports = reports;
}

void
jobs_world_hide_run(struct jobs_world *w, int worker, int reports)
{
	w->workers[worker].hidden_reports = reports;
}

void
jobs_world_slow_clock(struct jobs_world *w, int worker)
{
	w->workers[worker].slow_since_ms = w->ms;
}

void
jobs_world_list_lacks(struct jobs_world *w, int worker, int lists)
{
	w->workers[worker].lists_missing = lists;
}

void
jobs_world_late_orders_cross_restarts(struct jobs_world *w)
{
	w->late_orders_cross_restarts = true;
}

int
jobs_world_held_up(const struct jobs_world *w, int64_t *arrives_ms)
{
	const struct message *m, *first = NULL;

	LIST_FOREACH(m, &w->messages, entries) {
		if (m->held_up && m->kind == MESSAGE_START &&
		    (first == NULL || m->at_ms < first->at_ms))
			first = m;
	}
	if (first == NULL)
		return -1;
	*arrives_ms = first->at_ms;
	return first->worker;
}

void
jobs_world_suspend_owner(struct jobs_world *w, int ms)
{
	struct owner *o = &w->owners[w->owner];

	o->suspended_until_ms = w->ms + ms;
	if (o->cut_ms == 0)
		o->cut_ms = w->ms;
	w->owner++;
	owner_begin(w);
}

void
jobs_world_entry(struct jobs_world *w, int worker, int64_t later_ms)
{
	int64_t started_ms = START_MS + w->workers[worker].born_ms + later_ms;

	feed_entry(w, w->owner, worker, later_ms >= 0 ? started_ms : 0);
}

int
jobs_world_add_worker(struct jobs_world *w)
{
	int i = w->opts.workers;
	struct sim_worker *s = &w->workers[i];

	if (i == JOBS_WORLD_WORKERS)
		return -1;
	snprintf(s->id, NAME_BYTES, "w-%d", i);
	start_life(w, s);
	s->cpu = w->opts.cpu;
	LIST_INIT(&s->runs);
	w->opts.workers++;
	return i;
}

void
jobs_world_cordon(
    struct jobs_world *w, int worker, const struct pool_event_cordon *cordon)
{
	struct pool_event ev = {.u.cordon = *cordon};

	send_cordon(w, worker, &ev);
}

void
jobs_world_caller(struct jobs_world *w, const char *account)
{
	snprintf(w->caller, sizeof(w->caller), "%s", account);
}

void
jobs_world_account(
    struct jobs_world *w, const struct account_settings *settings)
{
	size_t n = 0;
	int i;

	while (n < w->account_count &&
	    strcmp(w->accounts[n].name, settings->name) != 0)
		n++;
	if (n == w->account_count)
		w->accounts = realloc(
		    w->accounts, ++w->account_count * sizeof(*w->accounts));
	w->accounts[n] = *settings;
	for (i = 0; i <= w->owner; i++) {
		if (w->owners[i].alive)
			change_account(w, i, settings);
	}
}

struct account_cap
jobs_world_usage(const struct jobs_world *w, const char *account)
{
	struct account_cap sum = {0};
	const struct known_job *j;
	const struct sim_run *r;
	int i;

	for (i = 0; i < w->opts.workers; i++) {
		LIST_FOREACH(r, &w->workers[i].runs, entries) {
			HASH_FIND_STR(w->jobs, r->task.job, j);
			if (j == NULL || strcmp(j->account, account) != 0)
				continue;
			sum.cpu_milli += r->cpu;
			sum.memory_mb += r->memory_mb;
			sum.accelerators += r->accelerators;
		}
	}
	return sum;
}

int
jobs_world_owner(const struct jobs_world *w)
{
	return w->owner;
}

bool
jobs_world_cap_request(struct jobs_world *w, int owner,
    const struct cap_request *r, struct cap_report *report)
{
	struct pool_event ev = {.kind = POOL_CAP_REQUEST};
	struct owner *o = &w->owners[owner];

	if (!o->alive || w->ms < o->stalled_until_ms ||
	    w->ms < o->suspended_until_ms)
		return false;
	ev.u.cap_request = r;
	if (r != NULL)
		step(w, owner, &ev);
	return o->alive && pool_cap_report(o->pool, r, report);
}
