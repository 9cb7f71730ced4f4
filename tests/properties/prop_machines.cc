// The controller of machines and the owner of a pool together: an upkeep or a
// move ends a worker, and nothing else makes its owner take its runs for over.
#include "prop.h"

#include <cstdlib>
#include <string>
#include <vector>

extern "C" {
#include "machines_world.h"
}

namespace {

constexpr int worker_tasks = 8; // that a worker has room for

constexpr int quiet_ms = 4000; // at the end of a day, at least
constexpr int step_ms = 1000;

struct lasting_job {
	std::string id;
	size_t tasks;
};

struct day {
	struct jobs_world *jobs;
	struct machines_world *machines;
	int machine_count;
	std::vector<lasting_job> lasting;
	int lasting_tasks;
	int other_max; // machines that the other pool may want
	int lasting_max; // leave half of the room, with a machine less
};

struct day_kind {
	int slow_ms; // of the machines' service
	double lose_answers, busy, lose_lists;
	int cordon_ms; // as machines_faults
	bool owners, controllers; // are replaced
	bool waves; // several at the same time
};

// The whole range from the first case on, whatever the case's size.
template <typename T>
T
draw(T from, T below)
{
	return *rc::gen::resize(
	    rc::kNominalSize, rc::gen::inRange<T>(from, below));
}

day
make_day()
{
	struct jobs_world_opts o = {};
	struct machines_world_opts m = {};
	day d = {};

	o.seed = draw<uint64_t>(1, 1u << 30);
	o.workers = draw(2, 6);
	o.cpu = 4000;
	o.memory_mb = 100000;
	o.link_ms = draw(1, 20);
	o.store_ms = draw(2, 40);
	o.begin_ms = 200;
	o.estimate_spread = 0.5;
	o.guarded = *rc::gen::arbitrary<bool>();
	d.jobs = jobs_world_new(&o);
	m.seed = o.seed + 1;
	m.jobs = d.jobs;
	m.machines = o.workers;
	m.other_machines = draw(2, 4); // a pool keeps two
	m.spare_machines = draw(0, 3);
	m.maintenance_ms = 2000;
	m.move_ms = 1500;
	m.store_ms = o.store_ms;
	m.fenced = *rc::gen::arbitrary<bool>();
	m.trace = std::getenv("JOBS_WORLD_LOG") != nullptr;
	d.lasting_max = (o.workers - 1) * worker_tasks / 2;
	d.other_max = m.other_machines + m.spare_machines;
	d.machine_count = m.machines + m.other_machines + m.spare_machines;
	d.machines = machines_world_new(&m);
	machines_world_other_wants(d.machines, m.other_machines);
	RC_LOG() << "workers " << o.workers << " others " << m.other_machines
		 << " spare " << m.spare_machines << " link " << o.link_ms
		 << " store " << o.store_ms << " fenced " << m.fenced << "\n";
	machines_world_run(d.machines, 1000);
	return d;
}

void
submit(day &d)
{
	int count = draw(1, 5);
	char id[JOB_ID_BYTES];
	struct job_spec *job_spec = jobs_order(
	    1, (unsigned)count, 500, *rc::gen::element(100, 900, 3000));

	if (d.lasting_tasks + count <= d.lasting_max && draw(0, 3) == 0) {
		job_spec->steps[0].long_running = true;
		job_spec->steps[0].max_unavailable = 1;
		d.lasting_tasks += count;
	}
	jobs_world_submit(d.jobs, job_spec, id);
	if (job_spec->steps[0].long_running)
		d.lasting.push_back({id, (size_t)count});
	RC_LOG() << jobs_world_ms(d.jobs) << " submit " << count << " lasting "
		 << job_spec->steps[0].long_running << " ms "
		 << job_spec->steps[0].estimate_ms << "\n";
	job_spec_unref(job_spec);
}

void
set_faults(day &d, const day_kind &kind, bool on)
{
	struct machines_faults f = {};

	f.cordon_ms = 20;
	if (on) {
		f.slow_ms = kind.slow_ms;
		f.lose_answers = kind.lose_answers;
		f.busy = kind.busy;
		f.lose_lists = kind.lose_lists;
		f.cordon_ms = kind.cordon_ms;
	}
	machines_world_faults(d.machines, &f);
}

void
disturb(day &d, const day_kind &kind)
{
	int number = draw(0, 8);

	RC_LOG() << jobs_world_ms(d.jobs) << " disturbance " << number << "\n";
	switch (number) {
	case 0:
	case 1:
		if (!kind.waves && machines_world_wave_is_open(d.machines))
			return;
		machines_world_wave(d.machines, draw(1u, 1u << d.machine_count),
		    *rc::gen::element(6000, 15000, 30000), draw(1, 4));
		return;
	case 2:
		if (kind.controllers)
			machines_world_replace_controller(
			    d.machines, *rc::gen::element(1, 500, 3000));
		return;
	case 3:
	case 4:
	case 5:
		if (!kind.owners)
			return;
		machines_world_replace_owner(
		    d.machines, *rc::gen::element(0, 0, 500, 3000));
		machines_world_run(
		    d.machines, *rc::gen::element(5, 30, 80, 200));
		submit(d);
		submit(d);
		return;
	case 6:
		machines_world_other_wants(
		    d.machines, draw(0, d.other_max + 1));
		return;
	default:
		set_faults(d, kind, draw(0, 4) > 0);
		return;
	}
}

// An owner that died may not have stored the job: its caller has no answer.
// The judge says whether a job that has failed was to.
bool
is_to_run(const day &d, const lasting_job &j)
{
	int state = jobs_world_state(d.jobs, j.id.c_str());

	return state != -1 && state < JOB_COMPLETED;
}

size_t
lasting_jobs(const day &d)
{
	size_t n = 0;

	for (const lasting_job &j : d.lasting)
		n += is_to_run(d, j);
	return n;
}

size_t
lasting_tasks(const day &d)
{
	size_t n = 0;

	for (const lasting_job &j : d.lasting) {
		if (is_to_run(d, j))
			n += j.tasks;
	}
	return n;
}

size_t
tasks_running(const day &d)
{
	size_t n = 0;

	for (int i = 0; i < JOBS_WORLD_WORKERS; i++)
		n += jobs_world_tasks_on(d.jobs, i);
	return n;
}

// No wave is open, all other jobs have ended, and every lasting task runs.
bool
all_done(const day &d)
{
	struct pool_stats st;

	pool_stats(jobs_world_pool(d.jobs), &st);
	return !machines_world_wave_is_open(d.machines) &&
	    st.jobs == lasting_jobs(d) && tasks_running(d) == lasting_tasks(d);
}

// The verdict at the end of a day, "patience_ms" after the last disturbance or
// once all is done at two looks in a row: an end is shown when it is stored.
void
play(const day_kind &kind, int patience_ms,
    void (*judge)(const day &d, const struct jobs_verdict &v))
{
	day d = make_day();
	int turns = draw(8, 24);
	bool done = false, was_done;
	struct jobs_verdict v;

	set_faults(d, kind, true);
	submit(d);
	machines_world_wave(d.machines, (1u << d.machine_count) - 1,
	    *rc::gen::element(6000, 15000, 30000), draw(1, 4));
	while (turns-- > 0) {
		if (draw(0, 4) > 0)
			submit(d);
		disturb(d, kind);
		machines_world_run(
		    d.machines, *rc::gen::element(20, 200, 450, 1000, 2500));
	}
	set_faults(d, kind, false);
	machines_world_other_wants(d.machines, 0);
	for (int ms = 0; ms < patience_ms; ms += step_ms) {
		machines_world_run(d.machines, step_ms);
		was_done = done;
		done = all_done(d);
		if (ms >= quiet_ms && done && was_done)
			break;
	}
	jobs_world_judge(d.jobs, &v);
	RC_LOG(std::string(v.first));
	RC_LOG() << jobs_world_ms(d.jobs) << " carried out "
		 << machines_world_carried_out(d.machines) << " repeated "
		 << machines_world_repeated(d.machines) << " lasting "
		 << lasting_tasks(d) << " running " << tasks_running(d) << "\n";
	judge(d, v);
	machines_world_free(d.machines);
	jobs_world_free(d.jobs);
}

void
play_for_two_runs(const day_kind &kind)
{
	play(kind, quiet_ms, [](const day &, const struct jobs_verdict &v) {
		RC_ASSERT(v.ran_twice == 0);
	});
}

void
play_for_lost_jobs(const day_kind &kind)
{
	play(kind, 40000, [](const day &d, const struct jobs_verdict &v) {
		RC_ASSERT(v.ran_twice == 0);
		RC_ASSERT(v.lost == 0);
		RC_ASSERT(v.unfinished == 0);
		RC_ASSERT(tasks_running(d) == lasting_tasks(d));
	});
}

} // namespace

int
main()
{
	// slow, lose answers, busy, lose lists, cordons; owners,
	// controllers, waves
	prop_check(
	    "machines::no_task_runs_twice_where_orders_are_repeated", [] {
		    play_for_two_runs(
			{0, 0.5, 0.1, 0.5, 300, true, false, true});
	    });
	prop_check(
	    "machines::no_task_runs_twice_where_the_service_is_slow", [] {
		    play_for_two_runs(
			{5000, 0.2, 0.1, 0.3, 300, true, false, true});
	    });
	prop_check("machines::no_task_runs_twice_where_controllers_are_"
		   "replaced",
	    [] {
		    play_for_two_runs(
			{1500, 0.3, 0.1, 0.3, 300, true, true, true});
	    });
	prop_check("machines::no_job_is_lost_where_orders_are_repeated", [] {
		play_for_lost_jobs(
		    {1500, 0.3, 0.1, 0.3, 300, true, true, false});
	});
	prop_check("machines::no_job_is_lost_where_waves_overlap", [] {
		play_for_lost_jobs(
		    {1500, 0.3, 0.1, 0.3, 300, true, true, true});
	});
	return prop_failures != 0;
}
