/* The planner and the tasks, at growing numbers of VMs and tasks. */
#include <err.h>
#include <stdio.h>

#include "planner.h"
#include "slope.h"
#include "slope_fold.h"
#include "task_batch.h"

#define ROUNDS 5
#define BATCH 256 /* entries of one record */
#define TASK_VMS 2000

static const int vm_sizes[] = {1250, 2500, 5000, 10000, 20000};
static const int task_sizes[] = {2500, 5000, 10000, 20000};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct fold *
build_fold(int vms)
{
	struct buf *text = slope_text_new(SLOPE_POOLS);
	struct fold *f = fold_new();

	slope_publish(f, (char *)text->data, text->len);
	slope_add_vms(f, vms);
	buf_unref(text);
	return f;
}

/* One round: take over the fold, a demand for each pool, one plan. */
static double
plan_us(const struct fold *f)
{
	struct planner *p = planner_new();
	struct planner_output out;
	double begun = cpu_us();
	char pool[NAME_BYTES];
	int i, k;

	for (i = 0; i < ROUNDS; i++) {
		planner_sync(p, f, "dc1");
		for (k = 0; k < SLOPE_POOLS; k++) {
			snprintf(pool, sizeof(pool), "pool-%d", k);
			planner_observe_demand(
			    p, pool, (int64_t)k * TEXT_PPM, i * US_PER_S);
		}
		planner_propose(p, i * US_PER_S, &out);
	}
	planner_free(p);
	return (cpu_us() - begun) / ROUNDS;
}

static void
apply_batch(struct fold *f, struct task_batch *b)
{
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {1, 1, fold_next(f)},
	    .kind = RECORD_TASK,
	    .time_ms = 1000,
	    .offset = fold_next(f)};

	r.body = task_batch_take(b);
	fold_apply(f, &r);
	record_uninit(&r);
}

static void
task_submit_at(struct task_submit *s, int i)
{
	*s = (struct task_submit){.urgent = i % 100 == 0,
	    .yield = TASK_YIELD_STOP,
	    .size = {1000, 2048, 0}};
	snprintf(s->member, sizeof(s->member), "team-%d", i % 370);
	snprintf(s->name, sizeof(s->name), "task-%d", i);
}

static void
submit_all(struct fold *f, int tasks)
{
	struct task_submit s;
	struct task_batch b;
	int i;

	task_batch_init(&b);
	for (i = 0; i < tasks; i++) {
		task_submit_at(&s, i);
		task_batch_submit(&b, &s);
		if (b.count == BATCH || i + 1 == tasks)
			apply_batch(f, &b);
	}
	task_batch_uninit(&b);
}

/* Submits and places one task; the rest of the fold stays as it is. */
static double
place_us(struct fold *f, int task)
{
	const struct vm *v;
	struct task_batch b;
	struct task_submit s;
	char name[NAME_BYTES];
	double begun;

	task_submit_at(&s, task);
	/* Every 98th worker is in the pool that runs tasks. */
	snprintf(name, sizeof(name), "worker-%05d",
	    task % (TASK_VMS / SLOPE_POOLS) * SLOPE_POOLS);
	v = fold_vm(f, name);
	task_batch_init(&b);
	begun = cpu_us();
	task_batch_submit(&b, &s);
	apply_batch(f, &b);
	task_batch_place(
	    &b, task_id(s.member, s.name), 1, v->name, v->incarnation);
	apply_batch(f, &b);
	begun = cpu_us() - begun;
	task_batch_uninit(&b);
	if (fold_tasks_get(fold_task_state(f), task_id(s.member, s.name))
		->state != TASK_RUNNING)
		errx(1, "%s was not placed", s.name);
	return begun;
}

static double
places_us(struct fold *f, int from, int count)
{
	double sum = 0;
	int i;

	for (i = 0; i < count; i++)
		sum += place_us(f, from + i);
	return sum / count;
}

void
slopes_planner(const char *dir)
{
	struct slope plan = {"planner.plan_us", "VM", "us", {0}, {0}, 0};
	struct slope submit = {"tasks.submit_us", "task", "us", {0}, {0}, 0};
	struct slope heap = {"tasks.heap_bytes", "task", "B", {0}, {0}, 0};
	struct slope state = {"tasks.state_bytes", "task", "B", {0}, {0}, 0};
	struct slope place = {"tasks.place_us", "task", "us", {0}, {0}, 0};
	double begun, before;
	struct buf *b;
	struct fold *f;
	size_t i;

	for (i = 0; i < COUNT(vm_sizes); i++) {
		f = build_fold(vm_sizes[i]);
		slope_add(&plan, vm_sizes[i], plan_us(f));
		fold_free(f);
	}
	for (i = 0; i < COUNT(task_sizes); i++) {
		f = build_fold(TASK_VMS);
		before = heap_bytes();
		begun = cpu_us();
		submit_all(f, task_sizes[i]);
		slope_add(&submit, task_sizes[i], cpu_us() - begun);
		slope_add(&heap, task_sizes[i], heap_bytes() - before);
		b = fold_tasks_encode(fold_task_state(f));
		slope_add(&state, task_sizes[i], (double)b->len);
		buf_unref(b);
		slope_add(
		    &place, task_sizes[i], places_us(f, task_sizes[i], 500));
		fold_free(f);
	}
	slope_report(&plan, dir);
	slope_report(&submit, dir);
	slope_report(&heap, dir);
	slope_report(&state, dir);
	slope_report(&place, dir);
}
