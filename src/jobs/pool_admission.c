/*
 * Admission of submitted jobs: what could only be served too late is refused at
 * once, with the time after which a retry can succeed.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "pool_selection.h"

/* Unfinished jobs: limits memory and the length of a takeover. */
#define ACTIVE_JOBS_MAX 4000
/*
 * With this lag of the event loop, a submission may not be answered in time: it
 * is refused, so that accepted jobs are served.
 */
#define LAG_REFUSE_MS 300
#define LAG_RETRY_MS 1000 /* retry time after such a refusal */
/* Validity of the controller's report of incoming workers: five reports. */
#define INCOMING_VALID_MS 1000
/* Bounds of the retry time after other refusals. */
#define RETRY_MIN_MS 200
/* Least retry time where the reason may be an account's load. */
#define ACCOUNT_RETRY_MIN_MS 1000
/* Fewer unfinished jobs are no backlog. */
#define BACKLOG_JOBS_MIN 8

/* CPU capacity of the usable workers. */
static double
usable_cpu_milli(const struct pool *p)
{
	const struct pool_worker *w;
	double cpu_milli = 0;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (worker_usable(p, w))
			cpu_milli += (double)w->report.cpu_milli;
	}
	return cpu_milli;
}

bool
pool_incoming_known(const struct pool *p)
{
	return p->now_us - p->incoming_reported_us <=
	    INCOMING_VALID_MS * US_PER_MS;
}

/*
 * Time in ms for "work", in thousandths of a core times ms, with the incoming
 * workers counted from their arrival.  A surge begins in a pool of few workers;
 * most of the workers that will serve it are still on their way.
 */
static double
work_duration_ms(const struct pool *p, double work, double cpu_milli)
{
	double ms = cpu_milli > 0 ? work / cpu_milli : 0;
	double incoming = (double)p->incoming_workers * p->typical_cpu_milli;
	double within_ms = p->incoming_within_ms;

	if (incoming <= 0 || ms <= within_ms || !pool_incoming_known(p))
		return ms;
	return within_ms +
	    (work - cpu_milli * within_ms) / (cpu_milli + incoming);
}

/* Expected time until the accepted work is done. */
static double
backlog_ms(const struct pool *p)
{
	const struct run_time_model *m;
	double work = 0;
	struct occurrence *o;
	const struct job *j;

	TAILQ_FOREACH(j, &p->active, entries) {
		if (job_spec_long_running(j->spec))
			continue;
		m = run_time_find(p->run_times, j->queue.name);
		LIST_FOREACH(o, &j->occurrences, entries) {
			occurrence_expect(o, m);
			work += occurrence_work_left(o);
		}
	}
	return work_duration_ms(p, work, usable_cpu_milli(p));
}

/*
 * A job that could only finish long after its objective is refused at once.
 * Returns the time in ms until the backlog is short enough for it; 0: it is
 * accepted.
 */
static int
backlog_refusal_ms(const struct pool *p, const struct pool_event *ev)
{
	const struct job_spec *spec = ev->u.submit.spec;
	const struct queue_settings *q = ev->u.submit.queue;
	double critical_path_ms, objective_ms, wait_ms;

	if (p->active_count >= ACTIVE_JOBS_MAX)
		return SUBMIT_RETRY_MAX_MS;
	if (spec->repetitions > 0 || job_spec_long_running(spec) ||
	    p->active_count < BACKLOG_JOBS_MIN)
		return 0;
	critical_path_ms = job_spec_critical_path_ms(
	    spec, run_time_find(p->run_times, q->name));
	objective_ms = q->stretch * critical_path_ms + q->target_latency_ms;
	wait_ms = backlog_ms(p);
	if (wait_ms + critical_path_ms <= LOAD_LATENESS_MAX * objective_ms)
		return 0;
	wait_ms -= objective_ms - critical_path_ms;
	return wait_ms > SUBMIT_RETRY_MAX_MS ? SUBMIT_RETRY_MAX_MS
	    : wait_ms < RETRY_MIN_MS         ? RETRY_MIN_MS
					     : (int)wait_ms;
}

/* --- where client accounts are configured --- */

/* Counts the tokens of now: one job is taken in for each. */
static void
count_tokens(const struct pool *p, struct pool_account *a)
{
	double most = fmax(a->settings.weight, 1);
	double s = (double)(p->now_us - a->tokens_us) / US_PER_S;

	a->tokens = a->tokens_us == 0
	    ? most
	    : fmin(a->tokens + s * a->settings.weight, most);
	a->tokens_us = p->now_us;
}

/*
 * Time until a token that was not named to an earlier caller, so that callers
 * do not all return at once; 0: the account has one now.  Those who return have
 * no precedence: under lasting overload, their jobs would be late by then, and
 * would make new ones late, too.
 */
static double
rate_refusal_ms(const struct pool *p, struct pool_account *a)
{
	double weight = a->settings.weight, wait_us;

	if (!a->configured || a->tokens >= 1)
		return 0;
	wait_us = fmax((1 - a->tokens) / weight * US_PER_S,
	    (double)(a->next_token_us - p->now_us));
	wait_us = fmin(wait_us, SUBMIT_RETRY_MAX_MS * US_PER_MS);
	a->next_token_us = p->now_us +
	    (int64_t)(wait_us +
		fmin(US_PER_S / weight, SUBMIT_RETRY_MAX_MS * US_PER_MS));
	return fmax(wait_us / US_PER_MS, 1);
}

static void
fill_submission(struct pool *p, const struct pool_event *ev,
    struct pool_account *account, struct load_submission *sub)
{
	const struct job_spec *spec = ev->u.submit.spec;
	const struct queue_settings *q = ev->u.submit.queue;
	const struct run_time_model *m = run_time_find(p->run_times, q->name);
	struct load_candidate *job = &sub->job;
	const struct step_spec *s;
	double path_ms = job_spec_critical_path_ms(spec, m);
	size_t i;

	memset(sub, 0, sizeof(*sub));
	sub->objective_ms = q->stretch * path_ms + q->target_latency_ms;
	job->class = LOAD_ON_TIME;
	job->account = selection_account_index(p, account);
	job->priority = q->priority;
	job->left_ms = path_ms + rank_margin_ms(path_ms);
	job->slack_ms = fmax(sub->objective_ms - job->left_ms, 0);
	job->value = 1;
	for (i = 0; i < spec->step_count; i++) {
		s = &spec->steps[i];
		selection_add_step(&job->work, s,
		    (double)s->task_count *
			run_time_expected_ms(m, s->estimate_ms));
	}
}

/* Later submissions before the next pass are decided with the job in place. */
static void
add_admitted(struct pool *p, const struct load_submission *sub,
    const struct load_admission *a)
{
	struct load_problem *problem = &p->selection->problem;
	struct load_candidate *c;

	if (selection_reserve(p, problem->candidate_count + 1) == -1)
		return;
	c = &problem->candidates[problem->candidate_count++];
	*c = sub->job;
	c->verdict = a->verdict;
	c->share_ms = a->own_ms;
}

static void
note_refusal(struct pool *p, const struct pool_account *account, double rate_ms,
    const struct load_admission *a, const char **why)
{
	struct pool_selection *sel = p->selection;
	const struct load_decision *d = &sel->decision;

	if (rate_ms > 0 && rate_ms >= a->retry_ms) {
		*why = "account-rate";
		p->stats.refused_rate++;
	} else if (a->beyond_share) {
		*why = "account-share";
		p->stats.refused_share++;
	}
	snprintf(sel->figures, sizeof(sel->figures),
	    " account=%s weight=%g tokens=%.2f rate_ms=%.0f wait_ms=%.0f "
	    "own_ms=%.0f cpu=%.0f served=%zu deferred=%zu",
	    account != NULL ? account->settings.name : "",
	    account != NULL ? account->settings.weight : 1,
	    account != NULL ? account->tokens : 0, rate_ms, a->wait_ms,
	    a->own_ms, sel->problem.capacity.total.in[LOAD_CPU], d->served,
	    d->deferred);
}

/* As backlog_refusal_ms(); sets "why" for another reason. */
static int
selection_refusal_ms(
    struct pool *p, const struct pool_event *ev, const char **why)
{
	const struct job_spec *spec = ev->u.submit.spec;
	struct pool_account *account =
	    pool_account_get(p, ev->u.submit.account);
	struct load_admission a = {.verdict = LOAD_SERVED};
	struct load_submission sub;
	double rate_ms = 0, retry_ms;
	bool judged;

	if (p->active_count >= ACTIVE_JOBS_MAX)
		return SUBMIT_RETRY_MAX_MS;
	if (account != NULL)
		count_tokens(p, account);
	judged = p->selection->decided && spec->repetitions == 0 &&
	    !job_spec_long_running(spec) &&
	    p->active_count >= BACKLOG_JOBS_MIN &&
	    selection_reserve(p, p->selection->problem.candidate_count) == 0;
	if (judged) {
		fill_submission(p, ev, account, &sub);
		load_admit(
		    &p->selection->problem, &p->selection->decision, &sub, &a);
	}
	/* what is on time within the account's share harms nobody */
	if (account != NULL && selection_defers(p->selection) &&
	    !(judged && a.verdict == LOAD_SERVED))
		rate_ms = rate_refusal_ms(p, account);
	if (rate_ms > 0 || a.verdict == LOAD_REFUSED) {
		note_refusal(p, account, rate_ms, &a, why);
		retry_ms = fmax(rate_ms, a.retry_ms);
		return (int)fmin(
		    fmax(retry_ms, ACCOUNT_RETRY_MIN_MS), SUBMIT_RETRY_MAX_MS);
	}
	if (account != NULL)
		account->tokens = fmax(account->tokens - 1, 0);
	if (judged)
		add_admitted(p, &sub, &a);
	return 0;
}

const char *
pool_refusal_figures(const struct pool *p)
{
	return p->selection->figures;
}

int
pool_submit_refusal_ms(
    struct pool *p, const struct pool_event *ev, const char **why)
{
	int retry_ms;

	p->selection->figures[0] = '\0';
	if (p->loop_lag_us >= LAG_REFUSE_MS * US_PER_MS) {
		*why = "lag";
		return LAG_RETRY_MS;
	}
	if (ev->u.submit.refuse_ms > 0) {
		*why = "store";
		return ev->u.submit.refuse_ms;
	}
	*why = "backlog";
	retry_ms = selection_active(p) ? selection_refusal_ms(p, ev, why)
				       : backlog_refusal_ms(p, ev);
	if (retry_ms > 0 && strcmp(*why, "backlog") == 0)
		p->stats.refused_backlog++;
	return retry_ms;
}
