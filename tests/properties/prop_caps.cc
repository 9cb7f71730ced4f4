// What an account runs over all pools stays within its cap, whatever becomes
// of owners, controllers and messages: reducers of several pools, and the
// allocators of several controllers' terms, in virtual time.
#include "prop.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "cap_allocator.h"
#include "jobs_world.h"
}

namespace {

constexpr int pools = 3;
constexpr int accounts = 2;
constexpr int tick_ms = 200; // of controllers' updates
constexpr int follow_up_ms = 5;
constexpr int config_apply_ms = 3000; // an older cap counts for so long
constexpr int64_t task_cpu = 500, task_memory = 100; // the largest
constexpr int64_t cap_cpu = 4000;

const char *const account_names[accounts] = {"small", "large"};

struct controller {
	struct cap_allocator *allocator;
	bool alive;
	int64_t frozen_until_ms;
	int64_t follow_up_at_ms; // 0: none is due
};

struct message {
	int64_t at_ms;
	size_t controller;
	int pool, owner;
	bool answer; // with "report", else with "request"
	bool has_request, has_report;
	struct cap_request request;
	struct cap_report report;
};

struct world {
	struct jobs_world *pool[pools] = {};
	int64_t pool_cap[pools][accounts] = {}; // in force there
	int64_t cap[accounts] = {}; // by the newest configuration
	std::vector<controller> controllers;
	std::deque<message> messages;
	int64_t ms = 0;
	int64_t last[accounts] = {}, last_memory[accounts] = {};
	// What ran in a pool when its cap was lowered, and how much of that
	// may be over its share: it goes on, and the pool starts nothing.
	int64_t lowered_usage[pools][accounts] = {};
	int64_t lowered_over[pools][accounts] = {};
	// Such runs count, but a cap is in force for 3 s after it was lowered.
	bool strict = false;
	int64_t old_cap[accounts] = {}, old_cap_until_ms[accounts] = {};
	double lose = 0;
	int delay_max_ms = 3;
	uint64_t random = 1;

	~world()
	{
		for (auto &m : messages) {
			cap_request_uninit(&m.request);
			cap_report_uninit(&m.report);
		}
		for (auto &c : controllers)
			cap_allocator_free(c.allocator);
		for (auto *p : pool)
			jobs_world_free(p);
	}

	double chance()
	{
		random ^= random << 13;
		random ^= random >> 7;
		random ^= random << 17;
		return double(random >> 11) / double(1ull << 53);
	}
};

struct account_settings
settings_of(const world &w, int account, int64_t cpu)
{
	struct account_settings s = {};

	(void)w;
	snprintf(s.name, sizeof(s.name), "%s", account_names[account]);
	s.weight = 1;
	s.cap.cpu_milli = cpu;
	s.cap.memory_mb = account == 0 ? 0 : cpu / 5; // binds as cpu does
	return s;
}

void
configure(world &w, controller &c)
{
	struct account_table *t = account_table_new();
	char names[pools][NAME_BYTES];

	for (int a = 0; a < accounts; a++) {
		struct account_settings s = settings_of(w, a, w.cap[a]);
		account_table_add(t, &s);
	}
	for (int p = 0; p < pools; p++)
		snprintf(names[p], NAME_BYTES, "pool-%d", p);
	cap_allocator_configure(c.allocator, names, pools, t, w.ms * 1000);
	account_table_unref(t);
}

void
new_controller(world &w)
{
	controller c = {};

	c.allocator = cap_allocator_new(int64_t(w.controllers.size()) + 1);
	c.alive = true;
	configure(w, c);
	w.controllers.push_back(c);
}

// Applies the newest caps at one pool.
void
configure_pool(world &w, int pool)
{
	for (int a = 0; a < accounts; a++) {
		struct account_settings s = settings_of(w, a, w.cap[a]);
		int64_t before = w.pool_cap[pool][a];
		if (w.cap[a] < before) {
			int64_t used =
			    jobs_world_usage(w.pool[pool], account_names[a])
				.cpu_milli;
			w.lowered_usage[pool][a] = used;
			w.lowered_over[pool][a] +=
			    used - used * w.cap[a] / before;
			w.old_cap[a] = std::max(before,
			    w.ms < w.old_cap_until_ms[a] ? w.old_cap[a] : 0);
			w.old_cap_until_ms[a] = w.ms + config_apply_ms;
		}
		w.pool_cap[pool][a] = w.cap[a];
		jobs_world_account(w.pool[pool], &s);
	}
}

std::string
pool_name(int pool)
{
	return "pool-" + std::to_string(pool);
}

void
post(world &w, message &m)
{
	m.at_ms = w.ms + 1 + int64_t(w.chance() * w.delay_max_ms);
	if (w.chance() < w.lose) {
		cap_request_uninit(&m.request);
		cap_report_uninit(&m.report);
		return;
	}
	w.messages.push_back(m);
}

void
update_pool(world &w, size_t i, int pool)
{
	message m = {};

	m.controller = i;
	m.pool = pool;
	m.owner = jobs_world_owner(w.pool[pool]);
	// a controller may not know of the newest owner yet
	if (m.owner > 0 && w.lose > 0 && w.chance() < 0.3)
		m.owner--;
	m.has_request = cap_allocator_request(
	    w.controllers[i].allocator, pool_name(pool).c_str(), &m.request);
	post(w, m);
}

void
run_controllers(world &w)
{
	for (size_t i = 0; i < w.controllers.size(); i++) {
		controller &c = w.controllers[i];
		bool tick = (w.ms + int64_t(i) * 37) % tick_ms == 0;
		bool follow_up =
		    c.follow_up_at_ms != 0 && w.ms >= c.follow_up_at_ms;

		if (!c.alive || w.ms < c.frozen_until_ms ||
		    (!tick && !follow_up))
			continue;
		cap_allocator_step(c.allocator, w.ms * 1000);
		if (follow_up)
			c.follow_up_at_ms = 0;
		for (int p = 0; p < pools; p++) {
			if (tick ||
			    cap_allocator_has_news(
				c.allocator, pool_name(p).c_str()))
				update_pool(w, i, p);
		}
	}
}

void
deliver(world &w, message &m)
{
	controller &c = w.controllers[m.controller];

	if (m.answer) {
		if (c.alive && w.ms >= c.frozen_until_ms) {
			cap_allocator_note_owner(c.allocator,
			    pool_name(m.pool).c_str(), m.owner + 1);
			if (m.has_report) {
				cap_allocator_report(c.allocator,
				    pool_name(m.pool).c_str(), &m.report);
				c.follow_up_at_ms = w.ms + follow_up_ms;
			}
		}
		cap_report_uninit(&m.report);
		return;
	}
	message back = m;
	back.answer = true;
	back.request = {};
	back.has_report = jobs_world_cap_request(w.pool[m.pool], m.owner,
	    m.has_request ? &m.request : NULL, &back.report);
	cap_request_uninit(&m.request);
	post(w, back);
}

void
deliver_due(world &w)
{
	for (size_t i = 0; i < w.messages.size();) {
		if (w.messages[i].at_ms > w.ms) {
			i++;
			continue;
		}
		message m = w.messages[i];
		w.messages.erase(w.messages.begin() + long(i));
		deliver(w, m);
	}
}

// Highest cap of an account that a pool has in force.
int64_t
cap_in_force(const world &w, int account)
{
	int64_t most = 0;

	for (int p = 0; p < pools; p++)
		most = std::max(most, w.pool_cap[p][account]);
	return most;
}

void
judge(world &w)
{
	for (int a = 0; a < accounts; a++) {
		int64_t cpu = 0, memory = 0, cap = cap_in_force(w, a);
		struct account_settings s = settings_of(w, a, cap);

		for (int p = 0; p < pools; p++) {
			struct account_cap u =
			    jobs_world_usage(w.pool[p], account_names[a]);
			cpu += u.cpu_milli;
			memory += u.memory_mb;
			w.lowered_usage[p][a] =
			    std::min(w.lowered_usage[p][a], u.cpu_milli);
			w.lowered_over[p][a] = std::min(
			    w.lowered_over[p][a], w.lowered_usage[p][a]);
			if (!w.strict)
				cap += w.lowered_over[p][a];
		}
		if (w.strict && w.ms < w.old_cap_until_ms[a])
			cap = std::max(cap, w.old_cap[a]);
		s = settings_of(w, a, cap);
		if (cpu > w.last[a] && cpu > cap + task_cpu)
			RC_FAIL("account " + std::string(account_names[a]) +
			    " runs " + std::to_string(cpu) + " of " +
			    std::to_string(cap) + " at " +
			    std::to_string(w.ms) + " ms");
		if (s.cap.memory_mb > 0 && memory > w.last_memory[a])
			RC_ASSERT(memory <= s.cap.memory_mb + task_memory);
		w.last[a] = cpu;
		w.last_memory[a] = memory;
	}
}

void
run(world &w, int ms)
{
	while (ms-- > 0) {
		w.ms++;
		for (auto *p : w.pool)
			jobs_world_run(p, 1);
		deliver_due(w);
		run_controllers(w);
		judge(w);
	}
}

void
submit(world &w, int pool, int account, unsigned count, int64_t cpu, int ms,
    bool gang)
{
	struct job_spec *o = jobs_order(1, count, cpu, ms);

	o->steps[0].gang = gang;
	o->steps[0].memory_mb = cpu / 5;
	jobs_world_caller(w.pool[pool], account_names[account]);
	jobs_world_submit(w.pool[pool], o, NULL);
	job_spec_unref(o);
}

// What workers see, with TRACE set.
void
trace_line(void *pool, int64_t ms, const char *line)
{
	printf("%s %lld %s\n", (const char *)pool, (long long)ms, line);
}

void
begin(world &w, double lose, double late)
{
	struct jobs_world_opts o = {};

	w.random = *rc::gen::inRange<uint64_t>(1, 1u << 30);
	o.workers = 3;
	o.cpu = 8000;
	o.memory_mb = 100000;
	o.link_ms = 2;
	o.store_ms = *rc::gen::element(4, 30, 150);
	o.lose = lose;
	o.late = late;
	o.guarded = true;
	o.trace = getenv("TRACE") != NULL ? trace_line : NULL;
	for (auto &p : w.pool) {
		static const char *const names[pools] = {"0", "1", "2"};
		o.trace_arg = (void *)names[&p - w.pool];
		o.seed = ++w.random;
		p = jobs_world_new(&o);
	}
	for (int a = 0; a < accounts; a++)
		w.cap[a] = cap_cpu;
	for (int p = 0; p < pools; p++)
		configure_pool(w, p);
	new_controller(w);
}

// One step of a history: work, or a fault.
void
disturb(world &w)
{
	int pool = *rc::gen::inRange(0, pools);
	int account = *rc::gen::inRange(0, accounts);
	controller &newest = w.controllers.back();

	switch (*rc::gen::inRange(0, 14)) {
	case 0:
		jobs_world_take_over(
		    w.pool[pool], *rc::gen::element(0, 500, 2900));
		break;
	case 1:
		jobs_world_suspend_owner(
		    w.pool[pool], *rc::gen::element(500, 2500, 5000));
		break;
	case 2: // the one before goes on until it finds out
		newest.frozen_until_ms = w.ms + *rc::gen::element(0, 700, 2500);
		new_controller(w);
		break;
	case 3:
		for (size_t i = 0; i + 1 < w.controllers.size(); i++)
			w.controllers[i].alive = false;
		break;
	case 4:
	case 5: // read by some pools now, by the controller and others later
		w.cap[account] = *rc::gen::element<int64_t>(
		    1000, 2000, cap_cpu, 2 * cap_cpu);
		configure_pool(w, pool);
		break;
	case 6:
		for (int p = 0; p < pools; p++)
			configure_pool(w, p);
		configure(w, newest);
		break;
	case 7:
		w.lose = *rc::gen::element(0.0, 0.2, 0.6);
		w.delay_max_ms = *rc::gen::element(3, 300, 1500);
		break;
	case 8:
		jobs_world_restart_worker(
		    w.pool[pool], *rc::gen::inRange(0, 3));
		break;
	case 9:
		jobs_world_cut_worker(w.pool[pool], *rc::gen::inRange(0, 3),
		    *rc::gen::arbitrary<bool>());
		break;
	default:
		// a gang that fits the cap at the end, too: others never start
		submit(w, pool, account, *rc::gen::inRange(1u, 9u),
		    *rc::gen::element<int64_t>(200, task_cpu),
		    *rc::gen::element(100, 600, 3000),
		    *rc::gen::inRange(0, 5) == 0);
	}
}

void
end_faults(world &w)
{
	w.lose = 0;
	w.delay_max_ms = 3;
	for (size_t i = 0; i + 1 < w.controllers.size(); i++)
		w.controllers[i].alive = false;
	w.controllers.back().frozen_until_ms = 0;
	for (auto &c : w.cap)
		c = cap_cpu;
	for (int p = 0; p < pools; p++) {
		configure_pool(w, p);
		for (int i = 0; i < 3; i++)
			jobs_world_cut_worker(w.pool[p], i, false);
		jobs_world_lose(w.pool[p], 0);
		jobs_world_late(w.pool[p], 0);
	}
	configure(w, w.controllers.back());
}

int64_t
usage(const world &w, int account)
{
	int64_t cpu = 0;

	for (int p = 0; p < pools; p++)
		cpu += jobs_world_usage(w.pool[p], account_names[account])
			   .cpu_milli;
	return cpu;
}

size_t
unfinished_jobs(const world &w)
{
	size_t n = 0;

	for (auto *p : w.pool) {
		struct pool_stats s;
		pool_stats(jobs_world_pool(p), &s);
		n += s.jobs;
	}
	return n;
}

void
history(double lose, double late, bool strict)
{
	world w;
	int steps = *rc::gen::inRange(5, 40);

	w.strict = strict;

	begin(w, lose, late);
	run(w, *rc::gen::element(1, 300, 1000));
	for (int i = 0; i < steps; i++) {
		disturb(w);
		run(w, *rc::gen::element(1, 20, 150, 400, 1200));
	}
	end_faults(w);
	// late starts arrive and what is accepted ends
	for (int i = 0; i < 120 && (i < 13 || unfinished_jobs(w) > 0); i++)
		run(w, 1000);
	RC_ASSERT(unfinished_jobs(w) == 0u);
	for (int p = 0; p < pools; p++) {
		for (int a = 0; a < accounts; a++) {
			RC_ASSERT(usage(w, a) == 0);
			submit(w, p, a, 7, task_cpu, 300, true);
			for (int i = 0; i < 100 && usage(w, a) == 0; i++)
				run(w, 20);
			RC_ASSERT(usage(w, a) == 7 * task_cpu);
			for (int i = 0; i < 100 && usage(w, a) > 0; i++)
				run(w, 20);
		}
	}
}

} // namespace

int
main()
{
	prop_check("caps::an_account_runs_no_more_than_its_cap",
	    [] { history(0, 0, false); });
	prop_check("caps::the_same_where_answers_of_workers_are_lost",
	    [] { history(0.1, 0, false); });
	prop_check("caps::the_same_where_starts_are_carried_out_late",
	    [] { history(0.02, 0.05, false); });
	prop_check("caps::runs_from_before_a_cap_was_lowered_count_after_3_s",
	    [] { history(0, 0, true); });
	return prop_failures > 0 ? 1 : 0;
}
