// The planner plans nothing that the fold would refuse, and nothing twice.
#include <set>

#include "control_records.h"
#include "prop.h"

extern "C" {
#include "planner.h"
}

static void
fold_one(Author *a, unsigned kind, struct buf *body)
{
	struct record r = a->make(kind, 0, body, (int64_t)a->offset);

	fold_apply(a->model, &r);
	record_uninit(&r);
}

// Daemon 0 of dc1 is on record: only then may it propose.
static void
register_daemon(Author *a)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", 1);
	wire_map(&w, 5);
	wire_u64(&w, "p", 100);
	wire_u64(&w, "inc", 7);
	wire_str(&w, "name", "d");
	wire_str(&w, "dc", "dc1");
	wire_u64(&w, "st", VM_REPORT_LIVE);
	fold_one(a, RECORD_VM, wire_writer_finish(&w));
}

static struct buf *
body_leave(const struct vm *v, const char *to)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "es", 1);
	wire_map(&w, 4);
	wire_u64(&w, "op", WITHDRAWAL_LEAVE);
	wire_str(&w, "vm", v->name);
	wire_str(&w, "to", to);
	wire_u64(&w, "ep", v->epoch);
	return wire_writer_finish(&w);
}

static void
observe_some(struct planner *p)
{
	int64_t now = 0;
	int i, n = 1 + pick(60);

	for (i = 0; i < n; i++) {
		now += (1 + pick(2000)) * US_PER_S;
		for (const char *pool : test_pools)
			planner_observe_demand(p, pool,
			    pick(4) == 0 ? pick(100) * INT64_C(1000000) : 1000,
			    now);
	}
	RC_PRE(n > 0);
}

static void
plans_are_admitted()
{
	struct planner *p = planner_new();
	struct planner_output out;
	std::set<std::string> vms, pools;
	Author a;
	int i, n = pick(200);

	for (i = 0; i < n; i++) {
		struct record r = next_record(&a);

		record_uninit(&r);
	}
	register_daemon(&a);
	planner_sync(p, a.model, "dc1");
	observe_some(p);
	planner_sync(p, a.model, "dc1");
	planner_propose(p, INT64_C(400000) * US_PER_S, &out);
	planner_free(p);
	RC_CLASSIFY(out.move_count > 0, "moves");
	for (size_t m = 0; m < out.move_count; m++) {
		const struct planner_move &move = out.moves[m];
		const struct vm *v = fold_vm(a.model, move.vm);
		bool known = v != nullptr;

		RC_ASSERT(known);
		RC_ASSERT(vms.insert(move.vm).second);
		RC_ASSERT(pools.insert(move.from_pool).second);
		RC_ASSERT(std::string(v->data_centre) == "dc1");
		RC_ASSERT(std::string(v->pool) == move.from_pool);
		RC_ASSERT(move.reason[0] != '\0');
		fold_one(&a, RECORD_MOVE, body_leave(v, move.to_pool));
		RC_ASSERT(v->state == VM_LEAVING);
		RC_ASSERT(std::string(v->target_pool) == move.to_pool);
	}
}

int
main()
{
	prop_check(
	    "planner.plans_only_what_the_fold_admits", plans_are_admitted);
	return prop_failures != 0;
}
