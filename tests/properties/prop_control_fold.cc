// What the fold guarantees for every sequence of records.
#include <map>
#include <set>

#include "control_records.h"
#include "prop.h"

static const int records_max = 400;

struct Bytes {
	struct buf *b;

	explicit Bytes(const struct fold *f) : b(fold_encode(f))
	{
	}
	Bytes(const Bytes &) = delete;
	Bytes &operator=(const Bytes &) = delete;
	~Bytes()
	{
		buf_unref(b);
	}
	bool operator==(const Bytes &o) const
	{
		return b->len == o.b->len &&
		    memcmp(b->data, o.b->data, b->len) == 0;
	}
};

static const struct vm *
vm_after(const struct vm *v)
{
	return static_cast<const struct vm *>(v->hh.next);
}

static struct fold *
reload(struct fold *f)
{
	struct buf *bytes = fold_encode(f);
	struct err e = {};
	struct fold *g = fold_decode(bytes->data, bytes->len, &e);

	RC_ASSERT(static_cast<bool>(g));
	buf_unref(bytes);
	fold_free(f);
	return g;
}

// A daemon that was started from a state goes on like one that was not.
static void
same_prefix()
{
	struct fold *g = fold_new();
	Author a;
	int i, n = pick(records_max);

	for (i = 0; i < n; i++) {
		struct record r = next_record(&a);

		fold_apply(g, &r);
		record_uninit(&r);
		if (pick(10) == 0)
			g = reload(g);
	}
	RC_ASSERT(Bytes(a.model) == Bytes(g));
	g = reload(g);
	RC_ASSERT(Bytes(a.model) == Bytes(g));
	fold_free(g);
}

static void
repeats_count_once()
{
	std::vector<struct record> old;
	Author a;
	int i, n = pick(records_max);

	for (i = 0; i < n; i++) {
		old.push_back(next_record(&a));
		if (pick(3) != 0)
			continue;
		struct record r = old[(size_t)pick((int)old.size())];
		uint64_t revision = fold_revision(a.model);
		int64_t log_ms = fold_log_ms(a.model);

		r.offset = a.offset++;
		fold_apply(a.model, &r);
		RC_ASSERT(fold_revision(a.model) == revision);
		RC_ASSERT(fold_log_ms(a.model) == log_ms);
	}
	for (struct record &r : old)
		record_uninit(&r);
}

// Pool and state of each VM before a record.
struct Before {
	std::string pool;
	enum vm_state state;
	uint64_t withdrawal;
	uint64_t incarnation;
};

static std::map<std::string, Before>
look(const struct fold *f)
{
	std::map<std::string, Before> m;

	for (const struct vm *v = fold_vms(f); v != NULL; v = vm_after(v))
		m[v->name] = {
		    v->pool, v->state, v->withdrawal_id, v->incarnation};
	return m;
}

static void
check_budget(const struct fold *f, const struct vm *left)
{
	const struct text_pool *t = text_pool(fold_text(f), left->pool);
	int64_t total = 0, serving = 0;

	for (const struct vm *v = fold_vms(f); v != NULL; v = vm_after(v)) {
		if (strcmp(v->pool, left->pool) != 0)
			continue;
		total++;
		serving += fold_vm_serves(f, v);
		if (v->withdrawal_id != 0)
			RC_ASSERT(strcmp(v->failure_domain,
				      left->failure_domain) == 0 &&
			    strcmp(v->data_centre, left->data_centre) == 0);
	}
	RC_ASSERT(serving * TEXT_PPM >= total * t->availability_ppm);
}

// Whoever is withdrawn by a record leaves enough behind, in one domain.
static void
budgets_hold()
{
	Author a;
	int i, n = pick(records_max);

	for (i = 0; i < n; i++) {
		auto before = look(a.model);
		struct record r = next_record(&a);

		record_uninit(&r);
		for (const struct vm *v = fold_vms(a.model); v != NULL;
		     v = vm_after(v))
			if (v->withdrawal_id != 0 &&
			    before[v->name].withdrawal != v->withdrawal_id)
				check_budget(a.model, v);
	}
}

// True where the record's "by" names every daemon of the data centre.
static bool
all_acked(const struct fold *f, const struct record &r, const char *dc)
{
	const msgpack_object_array *by;
	std::set<uint64_t> names;
	struct wire_reader rd;
	bool all = true;

	wire_reader_init(&rd, r.body->data, r.body->len, NULL);
	if (wire_get_array(rd.root, "by", &by))
		for (uint32_t i = 0; i + 1 < by->size; i += 2)
			names.insert(by->ptr[i].via.u64);
	wire_reader_uninit(&rd);
	for (const struct fold_daemon *d = fold_daemons(f); d != NULL;
	     d = daemon_after(d))
		if (strcmp(d->data_centre, dc) == 0)
			all = all && names.count(d->process) > 0;
	return all;
}

// One pool per VM; it changes only after everybody has acknowledged.
static void
moves_wait_for_all()
{
	std::set<std::string> acked;
	Author a;
	int i, n = pick(records_max);

	for (i = 0; i < n; i++) {
		auto before = look(a.model);
		struct record r = next_record(&a);

		for (const struct vm *v = fold_vms(a.model); v != NULL;
		     v = vm_after(v)) {
			Before &b = before[v->name];

			RC_ASSERT(v->pool[0] != '\0');
			if (v->state == VM_OUT && b.state != VM_OUT) {
				RC_ASSERT(b.state == VM_LEAVING);
				RC_ASSERT(
				    all_acked(a.model, r, v->data_centre));
				acked.insert(v->name);
			}
			if (!b.pool.empty() && b.pool != v->pool) {
				RC_ASSERT(acked.count(v->name) == 1);
				RC_ASSERT(b.incarnation == v->incarnation);
			}
			if (v->state == VM_SERVING)
				acked.erase(v->name);
		}
		record_uninit(&r);
	}
}

static uint64_t
base_of(const struct record &r)
{
	struct wire_reader rd;
	uint64_t base = UINT64_MAX;

	wire_reader_init(&rd, r.body->data, r.body->len, NULL);
	wire_get_u64(rd.root, "base", &base);
	wire_reader_uninit(&rd);
	return base;
}

// Versions only grow, and each base has one successor.
static void
config_never_reverts()
{
	std::set<uint64_t> bases;
	Author a;
	int i, n = pick(records_max);

	for (i = 0; i < n; i++) {
		uint64_t version = fold_config_version(a.model);
		struct record r = next_record(&a);

		RC_ASSERT(fold_config_version(a.model) >= version);
		if (fold_config_version(a.model) != version) {
			RC_ASSERT(fold_config_version(a.model) == r.offset);
			RC_ASSERT(base_of(r) == version);
			RC_ASSERT(bases.insert(base_of(r)).second);
			RC_ASSERT(fold_verdict(a.model, 0)->admitted);
		}
		record_uninit(&r);
	}
}

// The wild clock of one author never moves the log's time by itself.
static void
no_single_clock()
{
	struct record r;
	Author a;
	int i, n = 6 + pick(records_max);

	for (i = 0; i < n; i++) {
		r = a.make(RECORD_WAVE, i % 3, body_wave(a),
		    i % 3 == 0 && i > 2 ? INT64_MAX / 2 : i);
		fold_apply(a.model, &r);
		record_uninit(&r);
		RC_ASSERT(fold_log_ms(a.model) <= i);
	}
}

int
main()
{
	prop_check("control.same_prefix_same_bytes", same_prefix);
	prop_check("control.repeats_count_once", repeats_count_once);
	prop_check("control.budgets_hold", budgets_hold);
	prop_check("control.moves_wait_for_all", moves_wait_for_all);
	prop_check("control.config_never_reverts", config_never_reverts);
	prop_check("control.no_single_clock", no_single_clock);
	return prop_failures == 0 ? 0 : 1;
}
