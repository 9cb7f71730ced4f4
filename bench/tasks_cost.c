#include "tasks_cost.h"

#include <stdio.h>
#include <time.h>

#include "bounds.h"
#include "fold_tasks.h"
#include "sim.h"
#include "task_batch.h"

#define SECOND US_PER_S
#define BATCH 256
#define SETTLE_S 20
#define MEASURE_S 10

static const char text[] =
    "{\"deployment\": \"cost\", \"data_centres\": [{\"name\": \"dc1\"}],\n"
    "\"pools\": [{\"name\": \"jobs\"}],\n"
    "\"services\": [{\"name\": \"s\", \"path\": \"/s\", \"pool\": \"jobs\",\n"
    "\"availability\": 0.1}],\n"
    "\"members\": [{\"name\": \"m0\", \"quota\": {\"cores\": 10000000,\n"
    "\"memory_mb\": 10000000000}}],\n"
    "\"tasks\": {\"pool\": \"jobs\", \"lease_s\": 30, \"preempt\": true}}";

static enum append_outcome
always_done(struct sim *s, const struct effect *x, void *arg)
{
	(void)s;
	(void)x;
	(void)arg;
	return APPEND_DONE;
}

static void
append_batch(struct sim *s, struct task_batch *b, uint64_t seq)
{
	struct record r = {.format = RECORD_FORMAT_VERSION,
	    .id = {1, 1, seq},
	    .kind = RECORD_TASK,
	    .time_ms = 1};
	struct buf *bytes;

	r.body = task_batch_take(b);
	bytes = record_encode(&r);
	sim_append(s, STREAM_CONTROL, bytes);
	buf_unref(bytes);
	buf_unref(r.body);
}

static void
submit(struct sim *s, const char *prefix, unsigned count, int64_t cores,
    uint64_t *seq)
{
	struct task_submit t = {.member = "m0", .size = {cores * 1000, 100, 0}};
	struct task_batch b;
	unsigned i;

	task_batch_init(&b);
	for (i = 0; i < count; i++) {
		snprintf(t.name, sizeof(t.name), "%s-%u", prefix, i);
		task_batch_submit(&b, &t);
		if (b.count == BATCH)
			append_batch(s, &b, ++*seq);
	}
	if (b.count > 0)
		append_batch(s, &b, ++*seq);
	task_batch_uninit(&b);
}

static unsigned
count_running(struct sim *s)
{
	const struct task *t;
	unsigned n = 0;

	t = fold_tasks_head(fold_task_state(core_fold(sim_core(s, 0))));
	for (; t != NULL; t = t->hh.next)
		n += t->state == TASK_RUNNING;
	return n;
}

void
tasks_cost_print(unsigned vms, unsigned running, unsigned waiting)
{
	struct sim_opts o;
	struct sim *s;
	char vm[NAME_BYTES], rack[NAME_BYTES];
	uint64_t seq = 0;
	clock_t start;
	unsigned i;

	sim_opts_default(&o);
	o.data_centres = o.daemons = 1;
	o.tick_us = 20 * US_PER_MS;
	s = sim_new(&o);
	sim_on_task(s, always_done, NULL);
	for (i = 0; i < vms; i++) {
		snprintf(vm, sizeof(vm), "w%u", i);
		snprintf(rack, sizeof(rack), "rack-%u", i / 4);
		sim_worker_add(s, vm, "dc1", rack, "jobs");
	}
	sim_publish(s, text, 0);
	sim_run_until(s, 5 * SECOND);
	submit(s, "small", running, 1, &seq);
	sim_run_until(s, SETTLE_S * SECOND);
	submit(s, "large", waiting, 64, &seq);
	sim_run_until(s, (SETTLE_S + 5) * SECOND);
	start = clock();
	sim_run_until(s, (SETTLE_S + 5 + MEASURE_S) * SECOND);
	printf("tasks.core_percent.%u.%u.%u %.2f percent\n", vms,
	    count_running(s), waiting,
	    100.0 * (double)(clock() - start) / CLOCKS_PER_SEC / MEASURE_S);
	sim_free(s);
}
