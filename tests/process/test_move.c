/* A pool move of real daemons while one of them is frozen. */
#include "fixture.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fold.h"
#include "record.h"
#include "step.h"
#include "wire.h"

#define AUTHOR "planner-test" /* a daemon on record only for its proposal */
#define AUTHOR_INCARNATION 4711
#define MOVED_VM 0 /* upstream */
#define FROZEN 1 /* daemon */
/* Long enough for the others to take over the frozen daemon's duties. */
#define FROZEN_MS 8000

static const char *const move_text[] = {"\"availability\": 0.8",
    "\"availability\": 0.6", "\"enabled\": true", "\"enabled\": false", NULL};

static void
append(const struct fleet *f, uint64_t seq, unsigned kind, struct buf *body)
{
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {daemon_id(AUTHOR), AUTHOR_INCARNATION, seq},
	    .kind = kind,
	    .time_ms = wall_clock_ms(),
	    .body = body};

	fixture_append(f, record_encode(&r));
	buf_unref(body);
}

static struct buf *
author_body(const struct fleet *f, enum vm_report report)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", 1);
	wire_map(&w, 5);
	wire_u64(&w, "p", daemon_id(AUTHOR));
	wire_u64(&w, "inc", AUTHOR_INCARNATION);
	wire_str(&w, "name", AUTHOR);
	wire_str(&w, "dc", f->daemons[0].data_centre);
	wire_u64(&w, "st", (uint64_t)report);
	return wire_writer_finish(&w);
}

static struct buf *
move_body(const char *vm, uint64_t epoch)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "es", 1);
	wire_map(&w, 4);
	wire_u64(&w, "op", WITHDRAWAL_LEAVE);
	wire_str(&w, "vm", vm);
	wire_str(&w, "to", "spare");
	wire_u64(&w, "ep", epoch);
	return wire_writer_finish(&w);
}

/* Copies a VM's field as a daemon's fold has it; "" where it has none. */
static void
vm_field(const struct fleet *f, size_t daemon, const char *key, char *out,
    size_t size)
{
	struct json_object *o = fleet_dump(f, daemon), *vms, *vm;
	size_t i;

	out[0] = '\0';
	vms = json_at(o, "fold/vms");
	for (i = 0; vms != NULL && i < json_object_array_length(vms); i++) {
		vm = json_object_array_get_idx(vms, i);
		if (strcmp(json_string(vm, "vm"),
			f->upstreams[MOVED_VM].name) == 0)
			snprintf(out, size, "%s", json_string(vm, key));
	}
	json_object_put(o);
}

static void
platform_pool(const struct fleet *f, char *out, size_t size)
{
	struct json_object *o = NULL, *vms, *vm;
	size_t i;

	out[0] = '\0';
	http_json(f->platform_port, "GET", "/standin/state", NULL, &o);
	vms = json_at(o, "vms");
	for (i = 0; vms != NULL && i < json_object_array_length(vms); i++) {
		vm = json_object_array_get_idx(vms, i);
		if (strcmp(json_string(vm, "vm"),
			f->upstreams[MOVED_VM].name) == 0)
			snprintf(out, size, "%s", json_string(vm, "pool"));
	}
	json_object_put(o);
}

static bool
moved_everywhere(const struct fleet *f)
{
	char pool[NAME_BYTES], state[16];
	size_t i;

	platform_pool(f, pool, sizeof(pool));
	if (strcmp(pool, "spare") != 0)
		return false;
	for (i = 0; i < f->daemon_count; i++) {
		vm_field(f, i, "pool", pool, sizeof(pool));
		vm_field(f, i, "state", state, sizeof(state));
		if (strcmp(pool, "spare") != 0 || strcmp(state, "serving") != 0)
			return false;
	}
	return true;
}

static int64_t
last_new_work_ms(const struct fleet *f)
{
	struct json_object *o = NULL;
	int64_t ms;

	http_json(
	    f->upstreams[MOVED_VM].port, "GET", "/standin/state", NULL, &o);
	ms = json_int(o, "last_new_work_ms", 0);
	json_object_put(o);
	return ms;
}

static void
propose_move(const struct fleet *f)
{
	char epoch[24];

	append(f, 1, RECORD_VM, author_body(f, VM_REPORT_LIVE));
	vm_field(f, 0, "epoch", epoch, sizeof(epoch));
	append(f, 2, RECORD_MOVE,
	    move_body(f->upstreams[MOVED_VM].name, strtoull(epoch, NULL, 10)));
	append(f, 3, RECORD_VM, author_body(f, VM_REPORT_GONE));
}

Test(move, waits_for_a_frozen_daemon, .timeout = 120)
{
	struct fleet *f = fixture_running(1, 3, NULL);
	char path[192], pool[NAME_BYTES], state[16];
	struct callers *c;
	struct judgement j;
	int64_t resumed_ms, end;

	fleet_text_copy(f, "move.json", move_text, path, sizeof(path));
	cr_assert_eq(fleet_publish(f, "move", path, 0, FIXTURE_LIMIT_MS), 0);
	c = fixture_callers(f);
	callers_run(c, 1000);
	proc_signal(f->daemons[FROZEN].proc, SIGSTOP);
	propose_move(f);
	callers_run(c, FROZEN_MS);
	vm_field(f, 0, "state", state, sizeof(state));
	cr_expect_str_eq(state, "leaving");
	platform_pool(f, pool, sizeof(pool));
	cr_expect_str_eq(pool, f->upstreams[MOVED_VM].pool,
	    "moved before the frozen daemon has acknowledged");
	proc_signal(f->daemons[FROZEN].proc, SIGCONT);
	resumed_ms = wall_clock_ms();
	end = clock_ms() + FIXTURE_LIMIT_MS;
	while (!moved_everywhere(f) && clock_ms() < end)
		callers_run(c, 100);
	cr_expect(moved_everywhere(f), "the move did not end");
	fixture_judge(c, &j);
	cr_expect_lt(last_new_work_ms(f), resumed_ms,
	    "the daemon that woke up sent work to the leaving VM");
	callers_free(c);
	fleet_free(f);
}
