// Tasks: what the fold admits, and one holder under faults of many daemons.
#include <map>
#include <string>
#include <vector>

#include "prop.h"

extern "C" {
#include "fold.h"
#include "fold_tasks.h"
#include "task_batch.h"
#include "task_world.h"
}

static const char text_source[] =
    "{\"deployment\": \"d\", \"data_centres\": [{\"name\": \"dc1\"}],"
    "\"pools\": [{\"name\": \"jobs\"}, {\"name\": \"other\"}],"
    "\"services\": [{\"name\": \"s\", \"path\": \"/s\", \"pool\": \"jobs\","
    "\"availability\": 0.5}],"
    "\"members\": [{\"name\": \"m0\", \"quota\": {\"cores\": 20,"
    "\"memory_mb\": 900}}, {\"name\": \"m1\", \"quota\": {\"cores\": 9,"
    "\"memory_mb\": 900}}],"
    "\"tasks\": {\"pool\": \"jobs\", \"lease_s\": 5,"
    "\"quarantine_failures\": 2, \"preempt\": true}}";

static bool
serves(const struct fold *, const struct vm *v)
{
	return v->state == VM_SERVING;
}

// A small fold of tasks with four VMs and up to 24 tasks, driven by random
// entries.
class Small {
      public:
	Small()
	{
		ft = fold_tasks_new();
		view.text =
		    text_parse(text_source, sizeof(text_source) - 1, nullptr);
		view.serves = serves;
		view.log_ms = 1000;
		task_batch_init(&batch);
		for (int i = 0; i < 4; i++) {
			snprintf(vms[i].name, NAME_BYTES, "vm-%d", i);
			strcpy(vms[i].pool, i == 3 ? "other" : "jobs");
			vms[i].incarnation = 1;
			vms[i].cores = 8;
			vms[i].memory_mb = 400;
			struct vm *v = &vms[i];
			HASH_ADD_STR(view_head(), name, v);
		}
	}
	~Small()
	{
		struct vm *head = const_cast<struct vm *>(view.vms);

		HASH_CLEAR(hh, head);
		fold_tasks_free(ft);
		text_unref(const_cast<struct text *>(view.text));
		task_batch_uninit(&batch);
	}
	Small(const Small &) = delete;
	Small &operator=(const Small &) = delete;

	// One random record, then every invariant.
	void step();

      private:
	struct vm *&view_head()
	{
		return const_cast<struct vm *&>(view.vms);
	}
	uint64_t some_task();
	void random_entry();
	void random_vm_change();
	void apply();
	void check(const std::map<uint64_t, struct task> &before);
	void check_books();
	void check_bytes();

	struct fold_tasks *ft;
	struct fold_tasks_view view = {};
	struct task_batch batch;
	struct vm vms[4] = {};
	uint64_t offset = 0;
	std::map<uint64_t, uint64_t> cancelled; // epoch it had then
};

static const char *
member_of(int number)
{
	return number % 2 == 0 ? "m0" : "m1";
}

uint64_t
Small::some_task()
{
	auto n = *rc::gen::inRange(0, 24);

	return task_id(member_of(n), ("t" + std::to_string(n)).c_str());
}

void
Small::random_entry()
{
	auto id = some_task();
	auto t = fold_tasks_get(ft, id);
	auto slip =
	    *rc::gen::weightedElement<uint64_t>({{6, 0}, {1, 1}, {1, 2}});
	auto epoch = (t ? t->epoch : 0) + slip;
	auto n_vm =
	    *rc::gen::weightedElement<int>({{4, 0}, {4, 1}, {2, 2}, {1, 3}});
	auto vm = "vm-" + std::to_string(n_vm);
	auto inc = vms[n_vm].incarnation +
	    *rc::gen::weightedElement<uint64_t>({{8, 0}, {1, 1}});
	struct task_size size = {*rc::gen::inRange<int64_t>(0, 8500),
	    *rc::gen::inRange<int64_t>(1, 420), 0};

	switch (*rc::gen::inRange(0, 12)) {
	case 0:
	case 1: {
		auto n = *rc::gen::inRange(0, 24);
		struct task_submit s = {};

		snprintf(s.name, NAME_BYTES, "t%d", n);
		strcpy(s.member, member_of(n));
		s.size = size;
		s.urgent = *rc::gen::arbitrary<bool>();
		s.yield = TASK_YIELD_THROTTLE;
		task_batch_submit(&batch, &s);
		break;
	}
	case 2:
	case 3:
	case 4:
	case 5:
		task_batch_place(&batch, id, epoch + 1, vm.c_str(), inc);
		break;
	case 6:
		task_batch_stop(&batch, id, epoch);
		break;
	case 7:
	case 8:
		task_batch_end(&batch, id, epoch,
		    *rc::gen::elementOf(
			std::vector<enum task_result>{TASK_RESULT_DONE,
			    TASK_RESULT_FAILED, TASK_RESULT_FAILED,
			    TASK_RESULT_FAILED, TASK_RESULT_STOPPED,
			    TASK_RESULT_LAPSED, TASK_RESULT_CHECKPOINTED}));
		break;
	case 9: {
		struct task_cancel c = {};

		c.ids = &id;
		c.id_count = 1;
		task_batch_cancel(&batch, &c);
		break;
	}
	case 10:
		task_batch_usage(&batch, id, epoch, &size);
		break;
	default:
		task_batch_throttle(&batch, id, epoch);
		break;
	}
}

void
Small::random_vm_change()
{
	auto &v = vms[*rc::gen::inRange(0, 4)];

	switch (*rc::gen::inRange(0, 3)) {
	case 0:
		v.state = v.state == VM_SERVING ? VM_LEAVING : VM_SERVING;
		break;
	case 1:
		fold_tasks_vm_lost(ft, v.name, v.incarnation, ++offset, &view);
		v.incarnation++;
		v.state = VM_SERVING;
		break;
	default:
		view.log_ms += 3000;
		break;
	}
}

void
Small::apply()
{
	struct record r = {};

	r.kind = RECORD_TASK;
	r.offset = ++offset;
	r.body = task_batch_take(&batch);
	fold_tasks_apply(ft, &r, &view);
	buf_unref(r.body);
}

void
Small::step()
{
	std::map<uint64_t, struct task> before;

	for (auto t = fold_tasks_head(ft); t != nullptr;
	     t = static_cast<struct task *>(t->hh.next))
		before[t->id] = *t;
	if (*rc::gen::inRange(0, 12) == 0) {
		random_vm_change();
	} else {
		random_entry();
		apply();
	}
	check(before);
	check_books();
	check_bytes();
}

void
Small::check(const std::map<uint64_t, struct task> &before)
{
	for (auto t = fold_tasks_head(ft); t != nullptr;
	     t = static_cast<struct task *>(t->hh.next)) {
		auto old = before.find(t->id);
		bool held =
		    t->state == TASK_RUNNING || t->state == TASK_STOPPING;

		if (t->cancelled || t->result == TASK_RESULT_CANCELLED)
			cancelled.emplace(t->id, t->epoch);
		bool back = held && cancelled.count(t->id) != 0 &&
		    t->epoch != cancelled[t->id];
		RC_ASSERT(!back);
		if (old == before.end())
			continue;
		const auto &o = old->second;
		bool was = o.state == TASK_RUNNING || o.state == TASK_STOPPING;

		RC_ASSERT(t->epoch >= o.epoch);
		// Holders change only through a release, epochs with each.
		if (was && held)
			RC_ASSERT(
			    t->epoch == o.epoch && std::string(t->vm) == o.vm);
		if (was != held)
			RC_ASSERT(t->epoch == o.epoch + 1);
		if (was || !held)
			continue;
		// An admitted placement.
		auto vm = fold_tasks_vm(ft, t->vm);
		auto member = fold_tasks_member(ft, t->member);
		auto quota = text_member(view.text, t->member)->quota;
		struct vm *v = nullptr;

		HASH_FIND_STR(view_head(), t->vm, v);
		RC_ASSERT(v != nullptr && v->state == VM_SERVING &&
		    std::string(v->pool) == "jobs");
		RC_ASSERT(v->incarnation == t->incarnation);
		RC_ASSERT(!vm->quarantined);
		RC_ASSERT(vm->used.cores_milli <= v->cores * 1000);
		RC_ASSERT(vm->used.memory_mb <= v->memory_mb);
		RC_ASSERT(member->used.cores_milli <= quota.cores * 1000);
		RC_ASSERT(member->used.memory_mb <= quota.memory_mb);
	}
}

// What VMs and members hold is the sum of their tasks.
void
Small::check_books()
{
	std::map<std::string, int64_t> by_vm, by_member;

	for (auto t = fold_tasks_head(ft); t != nullptr;
	     t = static_cast<struct task *>(t->hh.next)) {
		if (t->state != TASK_RUNNING && t->state != TASK_STOPPING)
			continue;
		by_vm[t->vm] += task_charge(t).cores_milli;
		by_member[t->member] += task_charge(t).cores_milli;
	}
	for (const auto &v : vms) {
		auto used = fold_tasks_vm(ft, v.name);

		RC_ASSERT((used ? used->used.cores_milli : 0) == by_vm[v.name]);
	}
	for (auto name : {"m0", "m1"}) {
		auto used = fold_tasks_member(ft, name);

		RC_ASSERT(
		    (used ? used->used.cores_milli : 0) == by_member[name]);
	}
}

void
Small::check_bytes()
{
	struct buf *a = fold_tasks_encode(ft);
	struct fold_tasks *copy = fold_tasks_decode(a->data, a->len, nullptr);

	bool decoded = copy != nullptr;
	RC_ASSERT(decoded);
	struct buf *b = fold_tasks_encode(copy);
	RC_ASSERT(std::string((char *)a->data, a->len) ==
	    std::string((char *)b->data, b->len));
	buf_unref(b);
	buf_unref(a);
	// Go on with the copy: a snapshot changes nothing that follows.
	fold_tasks_free(ft);
	ft = copy;
}

// Faults that strike a random node for a while.
static void
strike(struct world *w, int kind, unsigned node)
{
	switch (kind) {
	case 0:
		sim_kill(w->s, node);
		break;
	case 1:
	case 2:
		sim_freeze(w->s, node);
		break;
	case 3:
		sim_cut_platform(w->s, node, true);
		break;
	case 4:
		sim_platform_slow(w->s, 400000);
		break;
	case 5:
		sim_lose_answers(w->s, 3, 2000000);
		w->lose_op_ppm = 300000;
		break;
	case 6:
		sim_platform_down(w->s, true);
		break;
	case 7:
		task_world_vm_dies(w, node % 2 ? "dc1-0" : "dc2-1");
		break;
	case 8:
		task_world_cancel(w, "m0");
		break;
	default:
		w->report_lag_us = 6000000;
		break;
	}
}

static void
mend(struct world *w)
{
	sim_calm(w->s);
	w->lose_op_ppm = 0;
	w->report_lag_us = 1000000;
	for (unsigned i = 0; i < sim_nodes(w->s); i++)
		sim_start(w->s, i);
}

// Tasks that have not ended although the faults have long ceased.
static unsigned
tasks_open(struct world *w)
{
	auto ft = fold_task_state(core_fold(sim_core(w->s, 0)));
	unsigned n = 0;

	for (auto t = fold_tasks_head(ft); t != nullptr;
	     t = static_cast<struct task *>(t->hh.next))
		n += t->state != TASK_ENDED;
	return n;
}

static void
one_holder_under_faults()
{
	struct sim_opts o;
	struct world w;
	auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
	auto faults =
	    *rc::gen::container<std::vector<std::pair<int, unsigned>>>(6,
		rc::gen::pair(
		    rc::gen::inRange(0, 10), rc::gen::inRange<unsigned>(0, 4)));

	sim_opts_default(&o);
	o.seed = seed;
	o.data_centres = 2;
	o.daemons = 2;
	o.tick_us = 50000;
	o.drop_ppm = 20000;
	o.repeat_ppm = 20000;
	task_world_init(&w, sim_new(&o), seed, 3);
	sim_run_until(w.s, 5000000);
	task_world_report(&w);
	for (int second = 5; second < 60; second++) {
		task_world_submit(&w, second % 3 == 0);
		task_world_submit(&w, false);
		if (second % 8 == 0)
			mend(&w);
		if (second % 4 == 0 && second < 50)
			strike(&w, faults[(size_t)second / 4 % 6].first,
			    faults[(size_t)second / 4 % 6].second);
		sim_run_until(w.s, second * INT64_C(1000000));
	}
	mend(&w);
	sim_run_until(w.s, INT64_C(400000000));
	auto open = tasks_open(&w);
	auto doubles = w.double_leases;
	auto starts = w.starts;
	sim_free(w.s);
	task_world_uninit(&w);
	RC_ASSERT(doubles == 0u);
	RC_ASSERT(starts > 0u);
	RC_ASSERT(open == 0u);
}

int
main()
{
	prop_check("tasks.fold_keeps_holders_quotas_and_quarantine", [] {
		Small s;
		auto steps = *rc::gen::inRange(100, 500);

		for (int i = 0; i < steps; i++)
			s.step();
	});
	prop_check("tasks.one_holder_and_an_end_under_faults",
	    one_holder_under_faults);
	return prop_failures != 0;
}
