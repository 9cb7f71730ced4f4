// A pool's reducer under faults: links that lose and hold up orders, workers
// that crash and are cut off, owners that are replaced, a store that is down.
#include "prop.h"

#include <cstdlib>
#include <string>
#include <vector>

extern "C" {
#include "jobs_world.h"
}

// "deadly": some jobs have a task that crashes each worker that starts it.
static struct jobs_world *
make_world(double lose, double late, double fail, bool deadly)
{
	struct jobs_world_opts o = {};

	o.seed = *rc::gen::inRange<uint64_t>(1, 1u << 30);
	o.workers = *rc::gen::inRange(2, 7);
	o.cpu = 4000;
	o.memory_mb = 100000;
	o.link_ms = *rc::gen::inRange(1, 4);
	o.store_ms = *rc::gen::inRange(2, 8);
	o.lose = lose;
	o.late = late;
	o.fail = fail;
	o.estimate_spread = 0.5;
	o.guarded = *rc::gen::arbitrary<bool>();
	if (deadly) {
		o.workers = *rc::gen::inRange(4, 9);
		o.crash_after_ms = *rc::gen::element(0, 10, 80, 300);
		o.revive_ms = *rc::gen::inRange(300, 4000);
		// the world sends no time-outs for an id that a worker gave up
		o.revives_same_id = true;
		o.crash_dark = *rc::gen::arbitrary<bool>();
	}
	return jobs_world_new(&o);
}

static void
submit_some(struct jobs_world *w, std::vector<std::string> &ids, bool deadly)
{
	int n = *rc::gen::inRange(1, 4);

	while (n-- > 0) {
		int steps = *rc::gen::inRange(1, 4);
		int count = *rc::gen::inRange(1, 6);
		struct job_spec *job_spec = jobs_order(steps, (unsigned)count,
		    *rc::gen::inRange(300, 2500), *rc::gen::inRange(20, 900));
		char id[JOB_ID_BYTES];

		if (count > 1 && *rc::gen::inRange(0, 5) == 0)
			job_spec->steps[0].max_per_worker =
			    1 + (unsigned)count / 2;
		jobs_world_submit(w, job_spec, id);
		RC_LOG() << jobs_world_ms(w) << " submit " << steps << " x "
			 << count << " cpu " << job_spec->steps[0].cpu_milli
			 << " ms " << job_spec->steps[0].estimate_ms
			 << " apart " << job_spec->steps[0].max_per_worker
			 << "\n";
		ids.push_back(id);
		if (deadly && *rc::gen::inRange(0, 4) == 0) {
			jobs_world_deadly(
			    w, id, 0, (unsigned)*rc::gen::inRange(0, count));
			RC_LOG() << "deadly " << id << "\n";
		}
		job_spec_unref(job_spec);
	}
}

// Faults 0 to 6, which all worlds have.
static void
common_fault(struct jobs_world *w, int fault, int worker)
{
	switch (fault) {
	case 0:
		jobs_world_cut_worker(w, worker, true);
		break;
	case 1:
		jobs_world_cut_worker(w, worker, false);
		break;
	case 2:
		jobs_world_crash_worker(w, worker);
		break;
	case 3:
		jobs_world_restart_worker(w, worker);
		break;
	case 4:
		jobs_world_store(w, true);
		break;
	case 5:
		jobs_world_store(w, false);
		break;
	case 6:
		jobs_world_take_over(w, *rc::gen::inRange(0, 3000));
		break;
	default:
		break;
	}
}

// Any of the faults, in any order, then quiet until all should have ended.
static void
play(struct jobs_world *w, std::vector<std::string> &ids, int workers,
    bool deadly)
{
	int turns = *rc::gen::inRange(3, 9);

	while (turns-- > 0) {
		int worker = *rc::gen::inRange(0, workers);

		int fault = *rc::gen::inRange(0, 8);

		submit_some(w, ids, deadly);
		RC_LOG() << jobs_world_ms(w) << " fault " << fault << " worker "
			 << worker << "\n";
		switch (fault) {
		case 7:
			jobs_world_cancel(w,
			    ids[*rc::gen::inRange<size_t>(0, ids.size())]
				.c_str());
			break;
		default:
			common_fault(w, fault, worker);
			break;
		}
		jobs_world_run(w, *rc::gen::inRange(10, 2500));
	}
	jobs_world_store(w, false);
	for (int i = 0; i < workers; i++) {
		jobs_world_cut_worker(w, i, false);
		jobs_world_restart_worker(w, i);
	}
	jobs_world_take_over(w, 0);
	jobs_world_run(w, 30000);
}

static void
check(struct jobs_world *w, bool ends)
{
	struct jobs_verdict v;

	jobs_world_judge(w, &v);
	RC_LOG(std::string(v.first));
	RC_ASSERT(v.ran_twice == 0);
	RC_ASSERT(v.out_of_order == 0);
	RC_ASSERT(v.over_room == 0);
	RC_ASSERT(v.over_budget == 0);
	RC_ASSERT(v.over_unavailable == 0);
	RC_ASSERT(v.unasked == 0);
	RC_ASSERT(v.lost == 0);
	if (ends)
		RC_ASSERT(v.unfinished == 0);
	jobs_world_free(w);
}

// Steps of long-running tasks, each task with a worker of its own.
static void
submit_long_running(struct jobs_world *w)
{
	unsigned count = (unsigned)*rc::gen::inRange(2, 6);
	struct job_spec *o = jobs_order(1, count, 500, 0);

	o->steps[0].long_running = true;
	o->steps[0].max_unavailable = (unsigned)*rc::gen::inRange(1, 3);
	o->steps[0].max_per_worker = *rc::gen::element(0u, 1u);
	o->steps[0].memory_mb = *rc::gen::element(100, 9000);
	RC_LOG() << jobs_world_ms(w) << " submit " << count << " may miss "
		 << o->steps[0].max_unavailable << " mb "
		 << o->steps[0].memory_mb << "\n";
	jobs_world_submit(w, o, NULL);
	job_spec_unref(o);
}

// Each round of the owner's loop takes so long.
static void
run_late_loop(struct jobs_world *w)
{
	int round_ms = *rc::gen::inRange(100, 900);

	for (int ms = 0; ms < 6000; ms += round_ms + 2) {
		jobs_world_stall(w, round_ms);
		jobs_world_run(w, round_ms + 2);
	}
}

static void
play_long_running(struct jobs_world *w, int workers)
{
	int turns = *rc::gen::inRange(3, 12);

	submit_long_running(w);
	submit_long_running(w);
	jobs_world_run(w, 3000);
	while (turns-- > 0) {
		int worker = *rc::gen::inRange(0, workers);
		int fault = *rc::gen::inRange(0, 12);

		RC_LOG() << jobs_world_ms(w) << " fault " << fault << " worker "
			 << worker << "\n";
		switch (fault) {
		case 7:
		case 8:
		case 9:
			jobs_world_cordon_worker(w, worker);
			break;
		case 10:
			jobs_world_stall(w, *rc::gen::inRange(100, 2000));
			break;
		case 11:
			run_late_loop(w);
			break;
		default:
			common_fault(w, fault, worker);
			break;
		}
		jobs_world_run(w, *rc::gen::inRange(10, 1500));
	}
	jobs_world_store(w, false);
	for (int i = 0; i < workers; i++)
		jobs_world_cut_worker(w, i, false);
	jobs_world_run(w, 15000);
}

int
main()
{
	prop_check("jobs: promises hold on sound links", [] {
		struct jobs_world *w = make_world(0, 0, 0, false);
		std::vector<std::string> ids;

		play(w, ids, 2, false);
		check(w, true);
	});
	prop_check("jobs: promises hold where answers are lost", [] {
		struct jobs_world *w = make_world(0.1, 0, 0, false);
		std::vector<std::string> ids;

		play(w, ids, 2, false);
		check(w, true);
	});
	prop_check("jobs: promises hold where orders are held up", [] {
		struct jobs_world *w = make_world(0.05, 0.1, 0, false);
		std::vector<std::string> ids;

		play(w, ids, 2, false);
		check(w, false);
	});
	prop_check("jobs: promises hold where runs fail", [] {
		struct jobs_world *w = make_world(0.02, 0.02, 0.3, false);
		std::vector<std::string> ids;

		play(w, ids, 2, false);
		check(w, false);
	});
	prop_check("jobs::crashes_of_workers_are_bounded", [] {
		struct jobs_world *w = make_world(0, 0, 0, true);
		std::vector<std::string> ids;

		play(w, ids, 4, true);
		check(w, true);
	});
	prop_check(
	    "jobs::crashes_of_workers_are_bounded_where_answers_are_lost", [] {
		    struct jobs_world *w = make_world(0.1, 0, 0, true);
		    std::vector<std::string> ids;

		    play(w, ids, 4, true);
		    check(w, true);
	    });
	prop_check(
	    "jobs::crashes_of_workers_are_bounded_where_orders_are_late", [] {
		    struct jobs_world *w = make_world(0.05, 0.1, 0, true);
		    std::vector<std::string> ids;

		    play(w, ids, 4, true);
		    check(w, false);
	    });
	prop_check("jobs: long-running tasks stay available", [] {
		struct jobs_world_opts o = {};

		o.seed = *rc::gen::inRange<uint64_t>(1, 1u << 30);
		o.workers = *rc::gen::inRange(6, 16);
		o.cpu = 8000;
		o.memory_mb = 16000;
		o.link_ms = *rc::gen::inRange(1, 4);
		o.store_ms = *rc::gen::inRange(2, 8);
		o.begin_ms = *rc::gen::element(50, 600, 1500);
		o.said_guarded = o.guarded = true;
		o.answers_first = *rc::gen::arbitrary<bool>();
		struct jobs_world *w = jobs_world_new(&o);

		play_long_running(w, o.workers);
		check(w, true);
	});
	return prop_failures != 0;
}
