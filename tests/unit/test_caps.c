/* Shares of accounts' caps: one test for each failure that must not happen. */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "cap_allocator.h"
#include "cap_wire.h"
#include "cordon_wire.h"
#include "job_record.h"
#include "jobs_world.h"

#define ACCOUNT "bakery"

static struct jobs_world *world;
static int64_t request_number;

static void
configure(int64_t cap_cpu)
{
	struct account_settings s = {.name = ACCOUNT, .weight = 1};

	s.cap.cpu_milli = cap_cpu;
	jobs_world_account(world, &s);
}

static void
begin(int workers, int64_t cap_cpu)
{
	struct jobs_world_opts o = {
	    .seed = 20261204,
	    .workers = workers,
	    .cpu = 8000,
	    .memory_mb = 16000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .said_guarded = true,
	};

	request_number = 0;
	world = jobs_world_new(&o);
	configure(cap_cpu);
	jobs_world_caller(world, ACCOUNT);
}

static void
submit(unsigned tasks, int64_t cpu, int64_t ms, char *id)
{
	struct job_spec *o = jobs_order(1, tasks, cpu, ms);

	jobs_world_submit(world, o, id);
	job_spec_unref(o);
}

static int64_t
usage(void)
{
	return jobs_world_usage(world, ACCOUNT).cpu_milli;
}

/* The allocator of controller "fence" reaches the pool's present owner. */
static struct cap_report
propose(
    int64_t fence, int64_t owner, int64_t divisor, int64_t share, int64_t cap)
{
	struct cap_proposal p = {.account = ACCOUNT};
	struct cap_request r = {.controller = fence,
	    .number = ++request_number,
	    .owner = owner,
	    .fixed_divisor = divisor};
	struct cap_report report;

	p.share.share.cpu_milli = share;
	p.share.cap.cpu_milli = cap;
	r.list = &p;
	r.count = cap > 0;
	cr_assert(jobs_world_cap_request(
	    world, jobs_world_owner(world), &r, &report));
	return report;
}

static int64_t
held_cpu(struct cap_report report)
{
	int64_t held =
	    report.count > 0 ? report.list[0].held.share.cpu_milli : -1;

	cap_report_uninit(&report);
	return held;
}

static void
give(int64_t share, int64_t cap)
{
	struct cap_report r =
	    propose(1, jobs_world_owner(world) + 1, 4, share, cap);

	cap_report_uninit(&r);
}

/* A pool without a share started tasks on the whole cap. */
Test(caps, a_pool_without_a_share_starts_nothing)
{
	begin(1, 4000);
	submit(2, 500, 1000, NULL);
	jobs_world_run(world, 500);
	cr_expect_eq(usage(), 0);
	give(0, 0);
	jobs_world_run(world, 50);
	cr_expect_eq(usage(), 1000); /* the fixed part, a quarter */
	jobs_world_free(world);
}

/* The first job of an account waited for two rounds with the allocator. */
Test(caps, the_first_job_starts_on_the_fixed_part_at_once)
{
	int ms = 0;

	begin(1, 4000);
	give(0, 0);
	jobs_world_run(world, 1000);
	submit(1, 500, 1000, NULL);
	while (usage() == 0 && ms < 1000)
		jobs_world_run(world, 1), ms++;
	cr_expect_lt(ms, 300, "started after %d ms", ms);
	jobs_world_free(world);
}

/* A successor would know a lower share than its predecessor used. */
Test(caps, a_higher_share_is_used_once_it_is_stored)
{
	begin(1, 4000);
	give(0, 0);
	submit(8, 500, 5000, NULL);
	jobs_world_run(world, 50);
	cr_expect_eq(usage(), 1000);
	jobs_world_store(world, true);
	give(3000, 4000);
	jobs_world_run(world, 500);
	cr_expect_eq(usage(), 1000);
	jobs_world_store(world, false);
	jobs_world_run(world, 50);
	cr_expect_eq(usage(), 3000);
	jobs_world_free(world);
}

/* Another pool would get what still runs here. */
Test(caps, a_lower_share_is_reported_once_what_runs_fits_it)
{
	begin(1, 4000);
	give(4000, 4000);
	submit(8, 500, 1000, NULL);
	submit(8, 500, 1000, NULL);
	jobs_world_run(world, 100);
	cr_expect_eq(usage(), 4000);
	cr_expect_eq(held_cpu(propose(1, 1, 0, 1000, 4000)), 4000);
	jobs_world_run(world, 500);
	cr_expect_eq(held_cpu(propose(1, 1, 0, 0, 0)), 4000);
	jobs_world_run(world, 800); /* the first eight have ended */
	cr_expect_eq(usage(), 1000);
	cr_expect_eq(held_cpu(propose(1, 1, 0, 0, 0)), 1000);
	jobs_world_free(world);
}

/* Shares cut from an old cap added up to more than the new one. */
Test(caps, a_lowered_cap_scales_the_share_for_good)
{
	begin(1, 4000);
	give(4000, 4000);
	submit(16, 500, 400, NULL);
	jobs_world_run(world, 100);
	cr_expect_eq(usage(), 4000);
	configure(2000);
	jobs_world_run(world, 500);
	cr_expect_leq(usage(), 2000);
	configure(4000); /* the allocator distributes the increase */
	submit(16, 500, 400, NULL);
	jobs_world_run(world, 600);
	cr_expect_eq(usage(), 2000);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 600);
	cr_expect_leq(usage(), 2000);
	jobs_world_free(world);
}

/* A controller that was frozen gave away what its successor had. */
Test(caps, an_earlier_controller_is_not_heard_also_by_the_next_owner)
{
	begin(1, 4000);
	cap_report_uninit(
	    &(struct cap_report){.list = propose(2, 1, 4, 0, 0).list});
	jobs_world_run(world, 50);
	jobs_world_take_over(world, 0);
	jobs_world_run(world, 50);
	request_number = 100;
	cr_expect_eq(held_cpu(propose(1, 2, 2, 3000, 4000)), -1);
	submit(8, 500, 1000, NULL);
	jobs_world_run(world, 200);
	cr_expect_eq(usage(), 0);
	jobs_world_free(world);
}

/* A proposal for the owner before raised the share of its successor. */
Test(caps, proposals_for_another_term_or_out_of_order_are_dropped)
{
	begin(1, 4000);
	submit(8, 500, 4000, NULL);
	cr_expect_leq(held_cpu(propose(1, 7, 2, 3000, 4000)), 0);
	give(1000, 4000);
	request_number -= 2; /* overtaken by the one before */
	cr_expect_eq(held_cpu(propose(1, 1, 0, 4000, 4000)), 1000);
	jobs_world_run(world, 200);
	cr_expect_eq(usage(), 1000);
	jobs_world_free(world);
}

/* Tasks on a worker that is cut off ran beside as many started elsewhere. */
Test(caps, a_new_owner_counts_workers_that_have_not_answered)
{
	begin(2, 4000);
	give(4000, 4000);
	submit(8, 500, 6000, NULL);
	jobs_world_run(world, 100);
	cr_expect_eq(usage(), 4000);
	jobs_world_cut_worker(world, 0, true);
	jobs_world_cut_worker(world, 1, true);
	jobs_world_take_over(world, 0);
	jobs_world_cut_worker(world, jobs_world_tasks_on(world, 0) > 0, false);
	submit(8, 500, 1000, NULL);
	jobs_world_run(world, 2000);
	cr_expect_eq(usage(), 4000);
	jobs_world_free(world);
}

/* Pools asked for machines that tasks over their share could not use. */
Test(caps, tasks_kept_back_by_their_share_ask_for_no_machines)
{
	struct pool_demand d;

	begin(1, 2000);
	give(2000, 2000);
	submit(60, 500, 8000, NULL);
	jobs_world_run(world, 1000);
	pool_demand(jobs_world_pool(world), &d);
	cr_expect_eq(d.min_workers, 0);
	cr_expect_leq(d.wanted_workers_milli, 250);
	jobs_world_free(world);
}

static int64_t
propose_accelerators(int64_t share)
{
	struct cap_proposal p = {.account = ACCOUNT};
	struct cap_request r = {.controller = 1,
	    .number = ++request_number,
	    .owner = 1,
	    .list = &p,
	    .count = 1};
	struct cap_report report;
	int64_t held;

	p.share.share.accelerators = share;
	p.share.cap.accelerators = 4;
	cr_assert(jobs_world_cap_request(world, 0, &r, &report));
	held = report.count > 0 ? report.list[0].held.share.accelerators : -1;
	cap_report_uninit(&report);
	return held;
}

/* Another pool waited for good for an accelerator that nobody used. */
Test(caps, an_idle_pool_gives_its_accelerator_back)
{
	struct jobs_world_opts o = {
	    .seed = 20261204,
	    .workers = 1,
	    .cpu = 8000,
	    .memory_mb = 16000,
	    .accelerators = 4,
	    .link_ms = 2,
	    .store_ms = 4,
	    .said_guarded = true,
	};
	struct account_settings s = {
	    .name = ACCOUNT, .weight = 1, .cap = {.accelerators = 4}};
	struct job_spec *job = jobs_order(1, 1, 500, 100);

	request_number = 0;
	world = jobs_world_new(&o);
	jobs_world_account(world, &s);
	jobs_world_caller(world, ACCOUNT);
	propose_accelerators(1);
	job->steps[0].accelerators = 1;
	jobs_world_submit(world, job, NULL);
	job_spec_unref(job);
	jobs_world_run(world, 1000);
	cr_expect_eq(jobs_world_accepted(world), 1);
	cr_expect_eq(propose_accelerators(1), 1);
	propose_accelerators(0);
	jobs_world_run(world, 500);
	cr_expect_eq(propose_accelerators(0), 0);
	jobs_world_free(world);
}

/* Jobs that can never run waited for good. */
Test(caps, a_task_or_gang_over_the_cap_is_refused)
{
	struct job_spec *gang = jobs_order(1, 5, 500, 100);

	begin(1, 2000);
	give(2000, 2000);
	submit(1, 2500, 100, NULL);
	gang->steps[0].gang = true;
	jobs_world_submit(world, gang, NULL);
	job_spec_unref(gang);
	cr_expect_eq(jobs_world_refused(world), 2);
	submit(5, 500, 100, NULL); /* runs in two waves */
	jobs_world_run(world, 1000);
	cr_expect_eq(jobs_world_refused(world), 2);
	cr_expect_eq(jobs_world_accepted(world), 1);
	jobs_world_free(world);
}

/* A cancelled job's task that went on was not counted by the next owner. */
Test(caps, a_run_that_is_being_stopped_counts_after_a_takeover)
{
	char id[JOB_ID_BYTES];
	int i;

	begin(1, 4000);
	give(4000, 4000);
	submit(8, 500, 8000, id);
	jobs_world_run(world, 100);
	jobs_world_cut_worker(world, 0, true);
	jobs_world_cancel(world, id);
	jobs_world_run(world, 10);
	jobs_world_take_over(world, 0);
	jobs_world_cut_worker(world, 0, false);
	submit(8, 500, 1000, NULL);
	for (i = 0; i < 1000; i++) {
		jobs_world_run(world, 1);
		cr_assert_leq(usage(), 4000);
	}
	cr_expect_gt(usage(), 0);
	jobs_world_free(world);
}

static struct cap_allocator *
allocator_of(size_t pools, int64_t cap)
{
	static const char names[3][NAME_BYTES] = {"a", "b", "c"};
	struct cap_allocator *al = cap_allocator_new(1);
	struct account_settings s = {.name = ACCOUNT, .weight = 1};
	struct account_table *t = account_table_new();

	s.cap.cpu_milli = cap;
	account_table_add(t, &s);
	cap_allocator_configure(al, names, pools, t, 1);
	account_table_unref(t);
	return al;
}

/* The owner of the pool answers the newest request. */
static void
answer(struct cap_allocator *al, const char *pool, int64_t held, int64_t need,
    int64_t divisor, struct cap_request *out)
{
	struct cap_account_report a = {.account = ACCOUNT};
	struct cap_report r = {.controller = 1, .owner = 1, .complete = true};
	static uint64_t revision;

	if (!cap_allocator_request(al, pool, out))
		return;
	a.held.share.cpu_milli = held;
	a.held.cap.cpu_milli = held >= 0 ? 4000 : 0;
	a.need.cpu_milli = need;
	a.unit.cpu_milli = need > 0 ? 500 : 0;
	r.number = out->number;
	r.revision = ++revision;
	r.fixed_divisor = divisor;
	r.list = &a;
	r.count = held >= 0;
	cap_allocator_report(al, pool, &r);
}

/* A new controller raised shares that it did not know of. */
Test(caps, an_allocator_raises_nothing_before_all_owners_have_reported)
{
	struct cap_allocator *al = allocator_of(2, 4000);
	struct cap_request r;

	answer(al, "a", 1000, 4000, 0, &r);
	cap_allocator_step(al, 1);
	cr_expect_not(cap_allocator_has_news(al, "a"));
	answer(al, "b", 0, 0, 0, &r);
	cap_allocator_step(al, 1);
	cr_assert(cap_allocator_has_news(al, "a"));
	cr_assert(cap_allocator_request(al, "a", &r));
	cr_assert_eq(r.count, 1);
	cr_expect_gt(r.list[0].share.share.cpu_milli, 1000);
	cap_request_uninit(&r);
	cap_allocator_free(al);
}

/* Shares and fixed parts added up to more than the cap with a further pool. */
Test(caps, a_further_pool_gets_a_fixed_part_of_what_nobody_holds)
{
	static const char names[3][NAME_BYTES] = {"a", "b", "c"};
	struct cap_allocator *al = allocator_of(2, 4000);
	struct account_settings s = {.name = ACCOUNT, .weight = 1};
	struct account_table *t = account_table_new();
	struct cap_request r;

	s.cap.cpu_milli = 4000;
	account_table_add(t, &s);
	answer(al, "a", 2000, 2000, 0, &r);
	answer(al, "b", 2000, 2000, 0, &r);
	cap_allocator_configure(al, names, 3, t, 1);
	account_table_unref(t);
	answer(al, "c", -1, 0, 0, &r);
	cap_allocator_step(al, 1);
	cr_assert(cap_allocator_request(al, "c", &r));
	cr_expect_eq(r.fixed_divisor, 6);
	cr_assert_eq(r.count, 1);
	cr_expect_eq(r.list[0].share.share.cpu_milli, 0);
	cap_request_uninit(&r);
	cap_allocator_free(al);
}

/* Two pools with new owners each got the same room that was left. */
Test(caps, room_that_is_left_goes_to_one_pool)
{
	static const char *const new_owners[] = {"b", "c"};
	struct cap_allocator *al = allocator_of(3, 4000);
	const struct cap_share *share;
	struct cap_request r;
	double given = 0;
	size_t i;

	answer(al, "a", 3800, 3800, 0, &r);
	for (i = 0; i < 2; i++)
		answer(al, new_owners[i], -1, 0, 0, &r);
	cap_allocator_step(al, 1);
	for (i = 0; i < 2; i++) {
		cr_assert(cap_allocator_request(al, new_owners[i], &r));
		cr_assert_eq(r.count, 1);
		share = &r.list[0].share;
		given += (double)share->share.cpu_milli /
		    (double)share->cap.cpu_milli;
		cap_request_uninit(&r);
	}
	cr_expect_leq(given, 0.0501); /* of the cap; a has the rest */
	cap_allocator_free(al);
}

/* Accounts without work cost bytes in each update. */
Test(caps, nothing_is_sent_while_nothing_changes)
{
	struct cap_allocator *al = allocator_of(1, 4000);
	struct cap_report report;
	struct cap_request r;

	answer(al, "a", 1000, 0, 0, &r);
	cap_allocator_step(al, 1);
	answer(al, "a", 1000, 0, 2, &r);
	cap_request_uninit(&r);
	answer(al, "a", 1000, 0, 2, &r); /* acknowledges the report */
	cap_request_uninit(&r);
	cap_allocator_step(al, 1);
	cap_allocator_free(al);

	begin(1, 4000);
	give(0, 0);
	r = (struct cap_request){.controller = 1,
	    .number = ++request_number,
	    .owner = 1,
	    .seen_revision = 1000};
	cr_assert(jobs_world_cap_request(world, 0, &r, &report));
	cap_report_uninit(&report);
	jobs_world_run(world, 1000);
	cr_expect_not(jobs_world_cap_request(world, 0, NULL, &report));
	jobs_world_free(world);
}

static void
fill_proposals(struct cap_request *r, size_t n)
{
	size_t i;

	r->list = calloc(n, sizeof(*r->list));
	r->count = n;
	for (i = 0; i < n; i++) {
		snprintf(r->list[i].account, NAME_BYTES, "account-%zu", i);
		r->list[i].share.share.memory_mb = (int64_t)i;
		r->list[i].share.cap.memory_mb = 1000000;
	}
}

/* Hundreds of accounts reach their owner, and its answer the allocator. */
Test(caps, requests_and_reports_are_read_as_they_were_sent)
{
	static struct cordon_request out, in;
	struct cap_account_report a = {.account = ACCOUNT, .need = {1, 2, 3}};
	struct cap_report caps = {.controller = 5,
	    .number = 6,
	    .owner = 7,
	    .revision = 8,
	    .complete = true,
	    .fixed_divisor = 10,
	    .list = &a,
	    .count = 1};
	struct pool_report sent = {.pool = "blue", .caps = &caps}, got;
	struct buf *b;
	struct err e;

	snprintf(out.pool, sizeof(out.pool), "blue");
	out.caps = (struct cap_request){.controller = 3, .number = 4};
	fill_proposals(&out.caps, 370);
	b = cordon_request_encode(&out);
	cr_assert_eq(cordon_request_decode(&in, b->data, b->len, &e), 0);
	buf_unref(b);
	cr_expect_eq(in.caps.controller, 3);
	cr_assert_eq(in.caps.count, 370);
	cr_expect_str_eq(in.caps.list[369].account, "account-369");
	cr_expect_eq(in.caps.list[369].share.share.memory_mb, 369);
	cordon_request_uninit(&in);
	cordon_request_uninit(&out);
	b = pool_report_encode(&sent);
	cr_assert_eq(pool_report_decode(&got, b->data, b->len, &e), 0);
	buf_unref(b);
	cr_assert_not_null(got.caps);
	cr_expect_eq(got.caps->revision, 8);
	cr_expect_eq(got.caps->list[0].need.accelerators, 3);
	pool_report_uninit(&got);
}

/* Daemons without caps, or of the version before, see no new fields. */
Test(caps, without_caps_messages_are_as_before)
{
	static struct cordon_request out, in;
	struct pool_report sent = {.pool = "blue"}, got;
	struct wire_reader reader;
	const msgpack_object *o;
	struct buf *b;
	struct err e;

	snprintf(out.pool, sizeof(out.pool), "blue");
	b = cordon_request_encode(&out);
	cr_assert_eq(wire_reader_init(&reader, b->data, b->len, &e), 0);
	cr_expect_not(wire_get(reader.root, CAP_REQUEST_KEY, &o));
	wire_reader_uninit(&reader);
	cr_assert_eq(cordon_request_decode(&in, b->data, b->len, &e), 0);
	cr_expect_eq(in.caps.controller, 0);
	buf_unref(b);
	b = pool_report_encode(&sent);
	cr_assert_eq(wire_reader_init(&reader, b->data, b->len, &e), 0);
	cr_expect_not(wire_get(reader.root, CAP_REPORT_KEY, &o));
	wire_reader_uninit(&reader);
	cr_assert_eq(pool_report_decode(&got, b->data, b->len, &e), 0);
	cr_expect_null(got.caps);
	buf_unref(b);
	pool_report_uninit(&got);
}

/* A record that is out of range would allow more than the cap. */
Test(caps, records_of_shares_are_read_as_written_or_refused)
{
	struct cap_share s = {.share = {500, 0, 1}, .cap = {4000, 0, 2}}, in;
	struct buf *b = share_record_encode(&s);
	struct err e;

	cr_expect_eq(share_record_decode(&in, b->data, b->len, &e), 0);
	cr_expect(cap_share_equal(&s, &in));
	buf_unref(b);
	s.share.cpu_milli = 4001;
	b = share_record_encode(&s);
	cr_expect_eq(share_record_decode(&in, b->data, b->len, &e), -1);
	buf_unref(b);
}
