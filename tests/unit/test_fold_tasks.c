/* The task part of the fold: who may hold a task, and what ends it. */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "fold.h"
#include "fold_tasks.h"
#include "task_batch.h"

static const char text_source[] =
    "{\"deployment\": \"d\", \"data_centres\": [{\"name\": \"dc1\"}],\n"
    "\"pools\": [{\"name\": \"jobs\"}, {\"name\": \"other\"}],\n"
    "\"services\": [{\"name\": \"s\", \"path\": \"/s\", \"pool\": \"jobs\",\n"
    "\"availability\": 0.5}],\n"
    "\"members\": [{\"name\": \"m1\", \"quota\": {\"cores\": 20,\n"
    "\"memory_mb\": 100000, \"accelerators\": 1}}, {\"name\": \"m2\",\n"
    "\"quota\": {\"cores\": 8, \"memory_mb\": 100000}}],\n"
    "\"tasks\": {\"pool\": \"jobs\", \"lease_s\": 10,\n"
    "\"quarantine_failures\": 2, \"preempt\": true}}";

static struct fold_tasks *ft;
static struct fold_tasks_view view;
static struct task_batch batch;
static struct vm *vms;
static uint64_t offset;

static bool
serves(const struct fold *f, const struct vm *v)
{
	(void)f;
	return v->state == VM_SERVING;
}

static struct vm *
add_vm(const char *name, const char *pool)
{
	struct vm *v = calloc(1, sizeof(*v));

	strcpy(v->name, name);
	strcpy(v->pool, pool);
	v->incarnation = 1;
	v->cores = 16;
	v->memory_mb = 32000;
	v->role = VM_WORKER;
	HASH_ADD_STR(vms, name, v);
	view.vms = vms;
	return v;
}

static void
setup(void)
{
	ft = fold_tasks_new();
	view.text = text_parse(text_source, strlen(text_source), NULL);
	view.serves = serves;
	view.log_ms = 1000000;
	cr_assert_not_null(view.text);
	task_batch_init(&batch);
	add_vm("a", "jobs");
	add_vm("b", "jobs");
	add_vm("c", "other");
}

static void
apply(void)
{
	struct record r = {.kind = RECORD_TASK, .offset = ++offset};

	r.body = task_batch_take(&batch);
	fold_tasks_apply(ft, &r, &view);
	buf_unref(r.body);
}

static const struct task *
submit_as(const char *member, const char *name, int64_t cores)
{
	struct task_submit s = {.size = {cores * 1000, 100, 0}};

	strcpy(s.member, member);
	strcpy(s.name, name);
	task_batch_submit(&batch, &s);
	apply();
	return fold_tasks_get(ft, task_id(member, name));
}

static bool
place(const struct task *t, const char *vm)
{
	uint64_t epoch = t->epoch + 1;

	task_batch_place(&batch, t->id, epoch, vm, 1);
	apply();
	return t->state == TASK_RUNNING && t->epoch == epoch &&
	    strcmp(t->vm, vm) == 0;
}

static void
end(const struct task *t, enum task_result result)
{
	task_batch_end(&batch, t->id, t->epoch, result);
	apply();
}

Test(fold_tasks, second_placement_and_old_epochs_are_void, .init = setup)
{
	const struct task *t = submit_as("m1", "t", 4);
	uint64_t epoch;

	cr_assert(place(t, "a"));
	epoch = t->epoch;
	task_batch_place(&batch, t->id, epoch + 1, "b", 1);
	apply();
	cr_assert_str_eq(t->vm, "a");
	end(t, TASK_RESULT_LAPSED);
	cr_assert_eq(t->state, TASK_WAITING);
	cr_assert_eq(t->epoch, epoch + 1, "the fence used the next epoch");
	task_batch_place(&batch, t->id, epoch + 1, "b", 1);
	apply();
	cr_assert_eq(t->state, TASK_WAITING, "an epoch is never used twice");
	task_batch_end(&batch, t->id, epoch, TASK_RESULT_DONE);
	apply();
	cr_assert_eq(t->state, TASK_WAITING, "late end of an old epoch");
	cr_assert(place(t, "b"));
}

Test(fold_tasks, placement_needs_pool_service_room_and_incarnation,
    .init = setup)
{
	const struct task *t = submit_as("m1", "t", 10);
	const struct task *u = submit_as("m1", "u", 10);

	cr_assert_not(place(t, "c"), "not in the tasks' pool");
	cr_assert_not(place(t, "nowhere"));
	vms->state = VM_LEAVING;
	cr_assert_not(place(t, "a"), "leaving");
	vms->state = VM_SERVING;
	vms->incarnation = 2;
	cr_assert_not(place(t, "a"), "replaced");
	vms->incarnation = 1;
	cr_assert(place(t, "a"));
	cr_assert_not(place(u, "a"), "no room for 20 of 16 cores");
	cr_assert(place(u, "b"));
}

Test(fold_tasks, quota_is_never_overrun_by_a_placement, .init = setup)
{
	const struct task *t = submit_as("m2", "t", 5);
	const struct task *u = submit_as("m2", "u", 4);

	cr_assert(place(t, "a"));
	cr_assert_not(place(u, "b"), "9 of 8 cores");
	end(t, TASK_RESULT_DONE);
	cr_assert(place(u, "b"));
	cr_assert_eq(fold_tasks_member(ft, "m2")->used.cores_milli, 4000);
}

Test(fold_tasks, what_can_run_nowhere_is_refused_with_the_reason, .init = setup)
{
	const struct task *t;

	t = submit_as("m1", "large", 17);
	cr_assert_eq(t->state, TASK_ENDED);
	cr_assert_eq(t->result, TASK_RESULT_REFUSED);
	cr_assert_not_null(strstr(t->reason, "every VM"));
	t = submit_as("m2", "quota", 9);
	cr_assert_not_null(strstr(t->reason, "quota"));
	t = submit_as("m3", "nobody", 1);
	cr_assert_not_null(strstr(t->reason, "no such member"));
	t = submit_as("m1", "nothing", 0);
	cr_assert_eq(t->state, TASK_WAITING, "it asks for memory alone");
	t = submit_as("m1", "less", -1);
	cr_assert_eq(t->result, TASK_RESULT_REFUSED);
}

/* A waiting task is refused later only where the fold agrees. */
Test(fold_tasks, refusal_of_a_waiting_task_is_checked, .init = setup)
{
	const struct task *t = submit_as("m1", "t", 16);

	task_batch_refuse(&batch, t->id);
	apply();
	cr_assert_eq(t->state, TASK_WAITING);
	vms->cores = 8;
	((struct vm *)vms->hh.next)->cores = 8;
	task_batch_refuse(&batch, t->id);
	apply();
	cr_assert_eq(t->result, TASK_RESULT_REFUSED);
}

Test(fold_tasks, vm_that_fails_everything_is_quarantined_until_replaced,
    .init = setup)
{
	const struct task *t = submit_as("m1", "t", 1);
	const struct task *u = submit_as("m1", "u", 1);

	cr_assert(place(t, "a"));
	end(t, TASK_RESULT_FAILED);
	cr_assert(place(u, "a"));
	end(u, TASK_RESULT_FAILED);
	cr_assert_not(place(t, "a"), "two failures in a row");
	fold_tasks_vm_lost(ft, "a", 1, ++offset, &view);
	cr_assert(place(t, "a"), "a lost VM's row is forgotten");
	end(t, TASK_RESULT_DONE);
	cr_assert(place(u, "a"));
	end(u, TASK_RESULT_FAILED);
	cr_assert(place(u, "a"), "a run that is done ends the row");
}

Test(fold_tasks, task_that_fails_on_several_vms_has_failed, .init = setup)
{
	const struct task *t = submit_as("m1", "t", 1);
	int i;

	for (i = 0; i < TASK_ATTEMPTS_MAX; i++) {
		cr_assert(place(t, i == 0 ? "a" : "b"));
		end(t, TASK_RESULT_FAILED);
	}
	cr_assert_eq(t->state, TASK_ENDED);
	cr_assert_eq(t->result, TASK_RESULT_FAILED);
}

Test(fold_tasks, cancellation_wave_is_one_record, .init = setup)
{
	const struct task *t[4] = {submit_as("m1", "nightly-1", 1),
	    submit_as("m1", "nightly-2", 1), submit_as("m2", "nightly-3", 1),
	    submit_as("m1", "daily", 1)};
	struct task_cancel c = {.member = "m1", .prefix = "nightly-"};

	cr_assert(place(t[0], "a"));
	task_batch_cancel(&batch, &c);
	apply();
	cr_assert_eq(t[0]->state, TASK_STOPPING, "its VM must be fenced");
	cr_assert_eq(t[1]->state, TASK_ENDED);
	cr_assert_eq(t[2]->state, TASK_WAITING, "of another member");
	cr_assert_eq(t[3]->state, TASK_WAITING, "of another prefix");
	cr_assert_not(place(t[1], "a"), "cancelled");
	end(t[0], TASK_RESULT_STOPPED);
	cr_assert_eq(t[0]->result, TASK_RESULT_CANCELLED);
	cr_assert_null(fold_tasks_member(ft, "m1"));
	memset(&c, 0, sizeof(c));
	task_batch_cancel(&batch, &c);
	apply();
	cr_assert_eq(t[3]->state, TASK_WAITING, "names nothing");
	strcpy(c.from, "d");
	strcpy(c.to, "e");
	task_batch_cancel(&batch, &c);
	apply();
	cr_assert_eq(t[3]->state, TASK_ENDED);
	c = (struct task_cancel){.ids = &t[2]->id, .id_count = 1};
	task_batch_cancel(&batch, &c);
	apply();
	cr_assert_eq(t[2]->state, TASK_ENDED);
}

Test(fold_tasks, reported_usage_corrects_the_size, .init = setup)
{
	const struct task *t = submit_as("m1", "t", 2);
	const struct task *u = submit_as("m1", "u", 4);
	struct task_size size = {14000, 200, 0};

	cr_assert(place(t, "a"));
	task_batch_usage(&batch, t->id, t->epoch + 1, &size);
	apply();
	cr_assert_eq(t->size.cores_milli, 2000, "of another epoch");
	task_batch_usage(&batch, t->id, t->epoch, &size);
	apply();
	cr_assert_eq(t->size.cores_milli, 14000);
	cr_assert_not(place(u, "a"), "18 of 16 cores");
	size.cores_milli = 99000;
	task_batch_usage(&batch, t->id, t->epoch, &size);
	apply();
	cr_assert_eq(t->size.cores_milli, 16000, "no more than its VM has");
}

Test(fold_tasks, lost_vm_gives_its_tasks_back_after_their_lease, .init = setup)
{
	const struct task *t = submit_as("m1", "t", 2);

	cr_assert(place(t, "a"));
	fold_tasks_vm_lost(ft, "a", 7, ++offset, &view);
	cr_assert_eq(t->state, TASK_RUNNING, "another incarnation");
	fold_tasks_vm_lost(ft, "a", 1, ++offset, &view);
	cr_assert_eq(t->state, TASK_WAITING);
	cr_assert_not(place(t, "b"), "its lease may still run");
	view.log_ms += 10000;
	cr_assert(place(t, "b"));
}

Test(fold_tasks, throttle_makes_room, .init = setup)
{
	struct task_submit s = {.member = "m1",
	    .name = "t",
	    .yield = TASK_YIELD_THROTTLE,
	    .size = {12000, 100, 0}};
	const struct task *t, *u;

	task_batch_submit(&batch, &s);
	apply();
	t = fold_tasks_get(ft, task_id("m1", "t"));
	cr_assert(place(t, "a"));
	u = submit_as("m1", "u", 8);
	cr_assert_not(place(u, "a"));
	task_batch_throttle(&batch, t->id, t->epoch);
	apply();
	cr_assert(place(u, "a"), "3 + 8 of 16 cores");
}

Test(fold_tasks, bytes_are_the_same_after_a_round_trip, .init = setup)
{
	const struct task *t = submit_as("m1", "t", 2);
	struct buf *bytes, *again;
	struct fold_tasks *copy;
	struct err e = {0};

	submit_as("m2", "u", 2);
	cr_assert(place(t, "a"));
	end(t, TASK_RESULT_FAILED);
	cr_assert(place(t, "b"));
	bytes = fold_tasks_encode(ft);
	copy = fold_tasks_decode(bytes->data, bytes->len, &e);
	cr_assert_not_null(copy);
	again = fold_tasks_encode(copy);
	cr_assert_eq(bytes->len, again->len);
	cr_assert_eq(memcmp(bytes->data, again->data, bytes->len), 0);
	cr_assert_eq(fold_tasks_vm(copy, "b")->used.cores_milli, 2000);
	cr_assert_eq(fold_tasks_vm(copy, "a")->consecutive_failures, 1);
	cr_assert_null(fold_tasks_decode(bytes->data, bytes->len / 2, &e));
	buf_unref(bytes);
	buf_unref(again);
	fold_tasks_free(copy);
}
