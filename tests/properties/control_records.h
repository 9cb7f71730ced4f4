// Random but plausible records of the control stream, drawn against the state
// that the earlier ones have led to.
#ifndef CONTROL_RECORDS_H
#define CONTROL_RECORDS_H

#include <cstring>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "fold.h"
#include "record.h"
#include "wire.h"
}

static const int test_vms = 8;
static const char *const test_pools[] = {"a", "b", "spare"};

static std::string
test_text(int availability_percent, const std::string &leaving, int resume)
{
	return "{\"deployment\": \"d\",\"data_centres\": [{\"name\": \"dc1\","
	       "\"region\": \"r\"},{\"name\": \"dc2\", \"region\": \"r\"}],"
	       "\"pools\": [{\"name\": \"a\"}, {\"name\": \"b\"},"
	       "{\"name\": \"spare\", \"spare\": true}],"
	       "\"services\": [{\"name\": \"s\", \"path\": \"/s\","
	       "\"pool\": \"a\", \"availability\": 0." +
	    std::to_string(availability_percent) +
	    "}], \"members\": [{\"name\": \"m\", \"weight\": 1}],"
	    "\"leaving\": [" +
	    leaving +
	    "], \"maintenance\": {\"enabled\": true, \"every_days\": 7,"
	    "\"canary\": 1, \"growth\": 2, \"max_batch\": 4, \"soak_s\": 1,"
	    "\"max_failures\": 2, \"resume\": " +
	    std::to_string(resume) + "}}";
}

static std::string
vm_name(int i)
{
	return "vm" + std::to_string(i);
}

static const char *
vm_dc(int i)
{
	return i % 2 == 0 ? "dc1" : "dc2";
}

// Writes records and folds them into "model", which guides the next ones.
class Author {
      public:
	struct fold *model = fold_new();
	uint64_t offset = 1;
	uint64_t seqs[4] = {0, 0, 0, 0};

	Author() = default;
	Author(const Author &) = delete;
	Author &operator=(const Author &) = delete;
	~Author()
	{
		fold_free(model);
	}

	struct record make(
	    unsigned kind, int process, struct buf *body, int64_t time_ms)
	{
		struct record r;

		memset(&r, 0, sizeof(r));
		r.format = RECORD_FORMAT_VERSION;
		r.kind = kind;
		r.id.process = 100 + (uint64_t)process;
		r.id.incarnation = 7;
		r.id.seq = ++seqs[process];
		r.time_ms = time_ms;
		r.offset = offset++;
		r.body = body;
		return r;
	}
};

static int
pick(int bound)
{
	return *rc::gen::inRange(0, bound);
}

static struct buf *
body_vm(const Author &a)
{
	int i = pick(test_vms), state = pick(8);
	std::string name = vm_name(i);
	const struct vm *v = fold_vm(a.model, name.c_str());
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "vms", 1);
	wire_map(&w, 9);
	wire_str(&w, "vm", name.c_str());
	wire_u64(&w, "inc",
	    v != NULL ? v->incarnation + (uint64_t)(pick(3) == 0) : 1);
	wire_u64(&w, "ep", v != NULL ? v->epoch - (uint64_t)(pick(6) == 0) : 0);
	wire_u64(&w, "st", state > 4 ? 0 : (uint64_t)state);
	wire_u64(&w, "role", VM_WORKER);
	wire_str(&w, "dc", vm_dc(i));
	wire_str(&w, "fd", i < test_vms / 2 ? "rack1" : "rack2");
	wire_str(&w, "pool", test_pools[i % 3 == 2 ? 2 : 0]);
	wire_i64(&w, "port", 80 + pick(2));
	return wire_writer_finish(&w);
}

static struct buf *
body_daemon(int process)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", 1);
	wire_map(&w, 5);
	wire_u64(&w, "p", 100 + (uint64_t)process);
	wire_u64(&w, "inc", 7);
	wire_str(&w, "name", "d");
	wire_str(&w, "dc", process % 2 == 0 ? "dc1" : "dc2");
	wire_u64(&w, "st", pick(5) == 0 ? VM_REPORT_GONE : VM_REPORT_LIVE);
	return wire_writer_finish(&w);
}

static struct buf *
body_config(const Author &a)
{
	std::string leaving =
	    pick(3) == 0 ? "\"" + vm_name(pick(8)) + "\"" : "";
	std::string text = pick(6) == 0
	    ? "{\"deployment\": 1}"
	    : test_text(3 + pick(6), leaving, pick(3));
	uint64_t version = fold_config_version(a.model);
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(
	    &w, "base", pick(4) == 0 && version > 0 ? version - 1 : version);
	wire_bin(&w, "text", text.data(), text.size());
	return wire_writer_finish(&w);
}

static const struct fold_daemon *
daemon_after(const struct fold_daemon *d)
{
	return static_cast<const struct fold_daemon *>(d->hh.next);
}

// Every sixth list of acknowledgements or so lacks somebody.
static void
write_by(struct wire_writer *w, const Author &a)
{
	const struct fold_daemon *d;
	uint32_t n = 0, count = 0, skip = (uint32_t)pick(6);

	for (d = fold_daemons(a.model); d != NULL; d = daemon_after(d))
		n += count++ != skip;
	wire_array(w, "by", n * 2);
	count = 0;
	for (d = fold_daemons(a.model); d != NULL; d = daemon_after(d)) {
		if (count++ == skip)
			continue;
		msgpack_pack_uint64(&w->pk, d->process);
		msgpack_pack_uint64(&w->pk, d->incarnation);
	}
}

// What would be the next step of this VM, or now and then any other.
static int
plausible_op(const struct vm *v)
{
	if (v == NULL || pick(5) == 0)
		return pick(5);
	if (v->state == VM_LEAVING)
		return WITHDRAWAL_ACKED;
	if (v->state == VM_OUT)
		return pick(5) == 0 ? WITHDRAWAL_FAILED : WITHDRAWAL_ENDED;
	return WITHDRAWAL_LEAVE;
}

static void
write_entry(struct wire_writer *w, const Author &a, int i)
{
	std::string name = vm_name(i);
	const struct vm *v = fold_vm(a.model, name.c_str());
	const struct fold_wave *wave = fold_wave(a.model, vm_dc(i));

	wire_map(w, 6);
	wire_u64(w, "op", (uint64_t)plausible_op(v));
	wire_str(w, "vm", name.c_str());
	wire_u64(w, "ep", v != NULL ? v->epoch - (uint64_t)(pick(8) == 0) : 0);
	wire_u64(w, "key",
	    v != NULL ? v->withdrawal_id - (uint64_t)(pick(8) == 0) : 1);
	wire_str(w, "to", test_pools[pick(3)]);
	wire_u64(w, "batch", wave != NULL ? wave->batch : 1);
}

static struct buf *
body_withdrawals(const Author &a)
{
	struct wire_writer w;
	int i, n = 1 + pick(4), first = pick(test_vms);

	wire_writer_init(&w);
	wire_map(&w, 2);
	write_by(&w, a);
	wire_array(&w, "es", (uint32_t)n);
	for (i = 0; i < n; i++)
		write_entry(&w, a, (first + i) % test_vms);
	return wire_writer_finish(&w);
}

static struct buf *
body_wave(const Author &a)
{
	const char *dc = vm_dc(pick(2));
	const struct fold_wave *wave = fold_wave(a.model, dc);
	int op = wave == NULL ? WAVE_OPEN : pick(6);
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 4);
	wire_u64(&w, "op", (uint64_t)(op > 3 ? (int)WAVE_NEXT : op));
	wire_str(&w, "dc", dc);
	wire_u64(&w, "wave", wave != NULL ? wave->id : 0);
	wire_u64(&w, "batch", wave != NULL ? wave->batch : 0);
	return wire_writer_finish(&w);
}

// One more record, folded into the model.
static struct record
next_record(Author *a)
{
	int kind = pick(20), process = pick(4);
	int64_t time_ms = (int64_t)a->offset * 1000 + pick(100);
	struct record r;

	if (pick(30) == 0)
		time_ms *= 1000; // a wild clock
	if (a->offset <= 4)
		r = a->make(RECORD_VM, process, body_daemon(process), time_ms);
	else if (a->offset == 5)
		r = a->make(RECORD_CONFIG, 3, body_config(*a), time_ms);
	else if (kind < 5)
		r = a->make(RECORD_VM, process, body_vm(*a), time_ms);
	else if (kind < 6)
		r = a->make(RECORD_VM, process, body_daemon(process), time_ms);
	else if (kind < 8)
		r = a->make(RECORD_CONFIG, process, body_config(*a), time_ms);
	else if (kind < 13)
		r = a->make(
		    RECORD_MOVE, process, body_withdrawals(*a), time_ms);
	else if (kind < 17)
		r = a->make(
		    RECORD_DISRUPTION, process, body_withdrawals(*a), time_ms);
	else if (kind < 19)
		r = a->make(RECORD_WAVE, process, body_wave(*a), time_ms);
	else
		r = a->make(77, process, body_wave(*a), time_ms);
	fold_apply(a->model, &r);
	return r;
}

#endif
