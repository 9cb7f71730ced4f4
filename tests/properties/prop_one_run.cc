// No task runs twice at once, whatever makes the owner of the pool take a run
// for over: leases, restarts, lists of machines, owners in series.
#include "prop.h"

#include <string>
#include <vector>

extern "C" {
#include "jobs_world.h"
}

namespace {

constexpr int workers_max = 6;

struct world_kind {
	double lose, late;
	bool cross_restarts;
	int64_t clock_start_max_ms; // of workers, after each start
};

struct jobs_world *
make_world(const world_kind &kind, int workers)
{
	struct jobs_world_opts o = {};
	struct jobs_world *w;

	o.seed = *rc::gen::inRange<uint64_t>(1, 1u << 30);
	o.workers = workers;
	o.cpu = 4000;
	o.memory_mb = 100000;
	o.link_ms = *rc::gen::inRange(1, 20);
	o.store_ms = *rc::gen::inRange(2, 40);
	o.begin_ms = 200;
	o.lose = kind.lose;
	o.late = kind.late;
	o.estimate_spread = 0.5;
	o.clock_start_max_ms = kind.clock_start_max_ms;
	o.guarded = *rc::gen::arbitrary<bool>();
	w = jobs_world_new(&o);
	jobs_world_jitter(w, *rc::gen::element(0, 5, 300));
	if (kind.cross_restarts)
		jobs_world_late_orders_cross_restarts(w);
	for (int i = 0; i < workers; i++) {
		if (*rc::gen::arbitrary<bool>())
			jobs_world_slow_clock(w, i);
	}
	return w;
}

void
submit(struct jobs_world *w)
{
	int count = *rc::gen::inRange(1, 6);
	struct job_spec *job_spec = jobs_order(
	    1, (unsigned)count, 500, *rc::gen::element(100, 900, 6000));

	if (*rc::gen::arbitrary<bool>()) {
		job_spec->steps[0].long_running = true;
		job_spec->steps[0].max_unavailable = 1;
	}
	jobs_world_submit(w, job_spec, NULL);
	RC_LOG() << jobs_world_ms(w) << " submit " << count << " lasting "
		 << job_spec->steps[0].long_running << " ms "
		 << job_spec->steps[0].estimate_ms << "\n";
	job_spec_unref(job_spec);
}

void
fault(struct jobs_world *w, int workers, int number, int worker)
{
	switch (number) {
	case 0:
	case 1:
		jobs_world_cut_worker(w, worker, number == 0);
		return;
	case 2:
		jobs_world_side(w, worker, *rc::gen::inRange(0, 6));
		return;
	case 3:
		jobs_world_crash_worker(w, worker);
		return;
	case 4:
		jobs_world_end_worker(w, worker,
		    *rc::gen::element(
			COMMAND_UNSENT, COMMAND_OTHER_INCARNATION));
		return;
	case 5:
		jobs_world_restart_worker(w, worker);
		return;
	case 6:
		jobs_world_list_worker(w, worker, *rc::gen::arbitrary<bool>());
		return;
	case 7:
		jobs_world_list_lacks(w, worker, 1);
		return;
	case 8:
		jobs_world_store(w, *rc::gen::arbitrary<bool>());
		return;
	case 9:
		jobs_world_take_over(w, *rc::gen::element(0, 500, 3000));
		return;
	case 10:
		jobs_world_suspend_owner(w, *rc::gen::inRange(500, 8000));
		return;
	case 11: // reborn behind a cut
		jobs_world_cut_worker(w, worker, true);
		jobs_world_list_worker(w, worker, false);
		jobs_world_restart_worker(w, worker);
		return;
	case 12:
		jobs_world_refuse_worker(
		    w, worker, *rc::gen::arbitrary<bool>());
		return;
	case 13:
		jobs_world_clock_step(w, *rc::gen::element(-5000, 0, 5000));
		return;
	case 14:
		for (int i = 0; i < workers; i++)
			jobs_world_cut_worker(w, i, false);
		return;
	case 16:
	case 17:
	case 18:
	case 19: // work comes before the owner hears of the restart
		jobs_world_list_worker(w, worker, false);
		jobs_world_restart_worker(w, worker);
		submit(w);
		jobs_world_run(w, *rc::gen::element(5, 30, 100));
		jobs_world_list_worker(w, worker, true);
		return;
	default:
		return;
	}
}

// Faults from 16 on, in any case of the property, where clocks start anywhere.
int
draw_fault(const world_kind &kind)
{
	if (kind.clock_start_max_ms == 0)
		return *rc::gen::inRange(0, 16);
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 20));
}

void
play(const world_kind &kind)
{
	int workers = *rc::gen::inRange(2, workers_max + 1);
	struct jobs_world *w = make_world(kind, workers);
	int turns = *rc::gen::inRange(3, 16);
	struct jobs_verdict v;

	submit(w);
	while (turns-- > 0) {
		int number = draw_fault(kind);
		int worker = *rc::gen::inRange(0, workers);

		if (*rc::gen::inRange(0, 3) == 0)
			submit(w);
		RC_LOG() << jobs_world_ms(w) << " fault " << number
			 << " worker " << worker << "\n";
		fault(w, workers, number, worker);
		jobs_world_run(
		    w, *rc::gen::element(3, 20, 100, 450, 1000, 3000));
	}
	jobs_world_run(w, 20000);
	jobs_world_judge(w, &v);
	RC_LOG(std::string(v.first));
	RC_ASSERT(v.ran_twice == 0);
	jobs_world_free(w);
}

} // namespace

int
main()
{
	prop_check("one_run::no_task_runs_twice_at_once", [] {
		play({0, 0, false, 0});
	});
	prop_check(
	    "one_run::no_task_runs_twice_at_once_where_answers_are_lost", [] {
		    play({0.1, 0, false, 0});
	    });
	prop_check(
	    "one_run::no_task_runs_twice_at_once_where_orders_are_late", [] {
		    play({0.05, 0.1, false, 0});
	    });
	prop_check(
	    "one_run::no_task_runs_twice_where_late_orders_cross_restarts", [] {
		    play({0.05, 0.1, true, 0});
	    });
	prop_check(
	    "one_run::no_task_runs_twice_where_clocks_start_anywhere", [] {
		    play({0.05, 0, true, 2000000});
	    });
	prop_check(
	    "one_run::no_task_runs_twice_where_clocks_start_near_zero", [] {
		    play({0.05, 0, true, 5000});
	    });
	return prop_failures != 0;
}
