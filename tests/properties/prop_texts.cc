// What workers save and the policy issues goes back whole, whatever its length:
// in runs, ends, gangs, tickets and records, while workers crash, their answers
// have rows that nobody can read, and owners are replaced.
#include "prop.h"

#include <string>

extern "C" {
#include "jobs_world.h"
}

namespace {

constexpr int workers_max = 6;
constexpr int quiet_ms = 60000;

struct jobs_world *
make_world(int workers, bool policy)
{
	struct jobs_world_opts o = {};

	o.seed = *rc::gen::inRange<uint64_t>(1, 1u << 30);
	o.workers = workers;
	o.cpu = 4000;
	o.memory_mb = 100000;
	o.link_ms = *rc::gen::inRange(1, 20);
	o.store_ms = *rc::gen::inRange(2, 40);
	o.lose = *rc::gen::element(0.0, 0.0, 0.1);
	o.estimate_spread = 0.5;
	o.guarded = *rc::gen::arbitrary<bool>();
	o.allowed_from = policy ? 1 : 0;
	o.policy_ms = 20;
	o.text_max_bytes = *rc::gen::element(80, 500, 5000);
	o.record_max_bytes = *rc::gen::element(0, 8192, 262144);
	o.texts_max_bytes = *rc::gen::element(0, 12000, 100000);
	return jobs_world_new(&o);
}

void
submit(struct jobs_world *w)
{
	int steps = *rc::gen::inRange(1, 3), count = *rc::gen::inRange(1, 6);
	struct job_spec *job_spec = jobs_order(
	    steps, (unsigned)count, 400, *rc::gen::element(100, 1500, 4000));

	for (int i = 0; i < steps; i++)
		job_spec->steps[i].has_checkpoints = true;
	// the world's gangs do not end together, so that no step may follow
	job_spec->steps[steps - 1].gang =
	    count > 1 && *rc::gen::inRange(0, 3) == 0;
	jobs_world_submit(w, job_spec, NULL);
	RC_LOG() << jobs_world_ms(w) << " submit " << steps << " x " << count
		 << " gang " << job_spec->steps[steps - 1].gang << " ms "
		 << job_spec->steps[0].estimate_ms << "\n";
	job_spec_unref(job_spec);
}

void
fault(struct jobs_world *w, int number, int worker)
{
	switch (number) {
	case 0:
	case 1:
		jobs_world_cut_worker(w, worker, number == 0);
		return;
	case 2:
		jobs_world_crash_worker(w, worker);
		return;
	case 3:
		jobs_world_restart_worker(w, worker);
		return;
	case 4:
	case 5:
		jobs_world_store(w, number == 4);
		return;
	case 6:
		jobs_world_take_over(w, *rc::gen::element(0, 500, 3000));
		return;
	case 7: // its runs are stopped after a while
		jobs_world_cordon_worker(w, worker);
		return;
	case 8:
		jobs_world_garble(w, worker, *rc::gen::element(1, 5, 1000));
		return;
	case 9: // nothing but the records is left of the values
		for (int i = 0; i < workers_max; i++)
			jobs_world_crash_worker(w, i);
		jobs_world_take_over(w, 0);
		jobs_world_run(w, 500);
		for (int i = 0; i < workers_max; i++)
			jobs_world_restart_worker(w, i);
		return;
	default:
		return;
	}
}

void
play(bool policy)
{
	struct jobs_world *w = make_world(workers_max, policy);
	int turns = *rc::gen::inRange(3, 10);
	struct jobs_verdict v;

	while (turns-- > 0) {
		int number = *rc::gen::inRange(0, 10);
		int worker = *rc::gen::inRange(0, workers_max);

		submit(w);
		RC_LOG() << jobs_world_ms(w) << " fault " << number
			 << " worker " << worker << "\n";
		fault(w, number, worker);
		jobs_world_run(w, *rc::gen::inRange(10, 2500));
	}
	jobs_world_store(w, false);
	for (int i = 0; i < workers_max; i++) {
		jobs_world_garble(w, i, 0);
		jobs_world_cut_worker(w, i, false);
		jobs_world_restart_worker(w, i);
	}
	jobs_world_take_over(w, 0);
	jobs_world_run(w, quiet_ms);
	jobs_world_judge(w, &v);
	RC_LOG(std::string(v.first));
	RC_ASSERT(v.ran_twice == 0);
	RC_ASSERT(v.out_of_order == 0);
	RC_ASSERT(v.over_room == 0);
	RC_ASSERT(v.over_budget == 0);
	RC_ASSERT(v.unasked == 0);
	RC_ASSERT(v.lost == 0);
	RC_ASSERT(v.unfinished == 0);
	jobs_world_free(w);
}

} // namespace

int
main()
{
	prop_check("texts: values of workers go back whole or not at all",
	    [] { play(false); });
	prop_check("texts: tickets of the policy go back whole or not at all",
	    [] { play(true); });
	return prop_failures != 0;
}
