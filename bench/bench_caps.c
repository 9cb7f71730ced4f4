/*
 * Shares of accounts' caps: time until what runs keeps to a lowered cap, and
 * what the exchange about shares costs, for a deployment of today and a large
 * one.  Pools are reducers in virtual time; in the second part they have no
 * workers, so that all work waits and lacks share.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bed.h"
#include "bounds.h"
#include "cap_allocator.h"
#include "cordon_wire.h"
#include "jobs_world.h"

#define TICK_MS 200 /* of the controller's updates */
#define RUN_MS 10000
#define ACTIVE_SHARE 10 /* one in so many accounts has work in a pool */
#define JOB_MS 1000 /* until a job is cancelled and another comes */
#define LOWERED_POOLS 5
#define CAP_CPU 40000

struct cost {
	double requests, reports, request_bytes, report_bytes, writes,
	    write_bytes, step_us, step_max_us, steps;
};

struct bench_pool {
	char name[NAME_BYTES];
	struct pool *pool;
	struct pool_effects fx;
	uint64_t written; /* newest serial */
	uint64_t next_job;
	char (*jobs)[JOB_ID_BYTES]; /* by account; "": none */
};

static int64_t now_ms;

static double
cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void
step(struct bench_pool *p, struct pool_event *ev, struct cost *c)
{
	const struct pool_effect *x;
	size_t i;

	ev->now_us = now_ms * US_PER_MS;
	ev->now_ms = now_ms;
	ev->ownership_confirmed_us = ev->entries_read_us = ev->now_us;
	pool_step(p->pool, ev, &p->fx);
	for (i = 0; i < p->fx.count; i++) {
		x = &p->fx.list[i];
		if (x->kind != POOL_WRITE)
			continue;
		p->written = x->u.write.serial;
		if (strncmp(x->u.write.key, KEY_SHARE_PREFIX, 2) != 0)
			continue;
		c->writes++;
		c->write_bytes +=
		    (double)(strlen(x->u.write.key) + x->u.write.value->len);
	}
	pool_effects_clear(&p->fx);
}

static struct account_settings
settings_of(size_t account)
{
	struct account_settings s = {.weight = 1};

	snprintf(s.name, sizeof(s.name), "account-%zu", account);
	s.cap.cpu_milli = CAP_CPU;
	s.cap.memory_mb = 4 * CAP_CPU;
	return s;
}

static void
pool_begin(struct bench_pool *p, size_t number, size_t accounts, struct cost *c)
{
	struct pool_opts o = {.fence = 1, .now_us = now_ms * US_PER_MS};
	struct pool_event ev = {.kind = POOL_ACCOUNT_CHANGE};
	struct account_settings s;
	size_t i;

	snprintf(p->name, sizeof(p->name), "pool-%zu", number);
	snprintf(o.name, sizeof(o.name), "%s", p->name);
	o.status_retention_ms = 1000;
	p->pool = pool_new(&o);
	p->jobs = calloc(accounts, sizeof(*p->jobs));
	for (i = 0; i < accounts; i++) {
		s = settings_of(i);
		ev.u.account_change.settings = &s;
		step(p, &ev, c);
	}
	ev.kind = POOL_LOADED;
	step(p, &ev, c);
}

/* An account's job is replaced by another one. */
static void
change_job(struct bench_pool *p, size_t account, struct cost *c)
{
	static const struct queue_settings queue = {
	    .name = "queue", .stretch = 2, .target_latency_ms = 100000};
	struct account_settings s = settings_of(account);
	struct pool_event ev = {.kind = POOL_CANCEL};
	struct buf *text = buf_from("{}", 2);

	if (p->jobs[account][0] != '\0') {
		memcpy(ev.u.job.id, p->jobs[account], JOB_ID_BYTES);
		step(p, &ev, c);
	}
	memset(&ev, 0, sizeof(ev));
	ev.kind = POOL_SUBMIT;
	snprintf(p->jobs[account], JOB_ID_BYTES, "%016llx",
	    (unsigned long long)++p->next_job);
	memcpy(ev.u.submit.id, p->jobs[account], JOB_ID_BYTES);
	memcpy(ev.u.submit.account, s.name, NAME_BYTES);
	ev.u.submit.queue = &queue;
	ev.u.submit.spec = jobs_order(
	    1, (unsigned)(1 + (account + p->next_job) % 6), 1000, 500);
	ev.u.submit.text = text;
	step(p, &ev, c);
	job_spec_unref(ev.u.submit.spec);
	buf_unref(text);
}

static void
exchange(struct cap_allocator *al, struct bench_pool *p, struct cost *c)
{
	static struct cordon_request r;
	struct pool_report report = {0};
	struct pool_event ev = {.kind = POOL_CAP_REQUEST};
	struct cap_report caps;
	struct buf *with, *without;
	bool asked;

	memset(&r, 0, sizeof(r));
	asked = cap_allocator_request(al, p->name, &r.caps);
	if (asked) {
		ev.u.cap_request = &r.caps;
		step(p, &ev, c);
		with = cordon_request_encode(&r);
		c->requests++;
		c->request_bytes += (double)with->len;
		buf_unref(with);
	}
	without = pool_report_encode(&report);
	cap_allocator_note_owner(al, p->name, 1);
	if (pool_cap_report(p->pool, asked ? &r.caps : NULL, &caps)) {
		report.caps = &caps;
		with = pool_report_encode(&report);
		c->reports++;
		c->report_bytes += (double)(with->len - without->len);
		buf_unref(with);
		cap_allocator_report(al, p->name, &caps);
		cap_report_uninit(&caps);
	}
	buf_unref(without);
	cap_request_uninit(&r.caps);
}

static struct cap_allocator *
allocator_begin(size_t accounts, const struct bench_pool *pools, size_t count)
{
	char(*names)[NAME_BYTES] = calloc(count, sizeof(*names));
	struct account_table *t = account_table_new();
	struct cap_allocator *al = cap_allocator_new(1);
	struct account_settings s;
	size_t i;

	for (i = 0; i < count; i++)
		memcpy(names[i], pools[i].name, NAME_BYTES);
	for (i = 0; i < accounts; i++) {
		s = settings_of(i);
		account_table_add(t, &s);
	}
	cap_allocator_configure(
	    al, (const char(*)[NAME_BYTES])names, count, t, 1);
	account_table_unref(t);
	free(names);
	return al;
}

static void
run_ms(struct cap_allocator *al, struct bench_pool *pools, size_t count,
    size_t accounts, bool busy, struct cost *c)
{
	struct pool_event ev;
	double began;
	size_t i, a;

	for (i = 0; i < count; i++) {
		memset(&ev, 0, sizeof(ev));
		ev.kind = POOL_STORED;
		ev.u.stored.serial = pools[i].written;
		if (now_ms % 10 == 0)
			step(&pools[i], &ev, c);
		for (a = 0; busy && a < accounts; a++) {
			if ((a + i) % ACTIVE_SHARE == 0 &&
			    (now_ms + (int64_t)(a * 37 + i * 11)) % JOB_MS == 0)
				change_job(&pools[i], a, c);
		}
	}
	if (now_ms % TICK_MS != 0)
		return;
	began = cpu_us();
	cap_allocator_step(al, now_ms * US_PER_MS);
	began = cpu_us() - began;
	c->step_us += began;
	c->step_max_us = began > c->step_max_us ? began : c->step_max_us;
	c->steps++;
	for (i = 0; i < count; i++)
		exchange(al, &pools[i], c);
}

static void
print(const char *size, const char *name, double value, const char *unit)
{
	char line[64];

	snprintf(line, sizeof(line), "caps.%s_%s", size, name);
	bed_print(line, value, unit);
}

static void
measure_exchange(const char *size, size_t accounts, size_t count)
{
	struct bench_pool *pools = calloc(count, sizeof(*pools));
	struct cost c = {0}, idle = {0};
	double seconds = RUN_MS / 1000.0;
	struct cap_allocator *al;
	size_t i;
	int ms;

	now_ms = 1000;
	for (i = 0; i < count; i++)
		pool_begin(&pools[i], i, accounts, &c);
	al = allocator_begin(accounts, pools, count);
	for (ms = 0; ms < 2000; ms++, now_ms++)
		run_ms(al, pools, count, accounts, false, &c);
	print(size, "first_bytes", c.request_bytes + c.report_bytes, "bytes");
	for (ms = 0; ms < 2000; ms++, now_ms++)
		run_ms(al, pools, count, accounts, false, &idle);
	print(size, "idle_messages", idle.requests + idle.reports, "messages");
	memset(&c, 0, sizeof(c));
	for (ms = 0; ms < RUN_MS; ms++, now_ms++)
		run_ms(al, pools, count, accounts, true, &c);
	print(size, "requests", c.requests / seconds, "1/s");
	print(size, "reports", c.reports / seconds, "1/s");
	print(size, "bytes", (c.request_bytes + c.report_bytes) / seconds,
	    "bytes/s");
	print(size, "records", c.writes / seconds, "1/s");
	print(size, "record_bytes", c.write_bytes / seconds, "bytes/s");
	print(size, "step_mean", c.step_us / c.steps, "us");
	print(size, "step_max", c.step_max_us, "us");
	cap_allocator_free(al);
	for (i = 0; i < count; i++) {
		pool_free(pools[i].pool);
		pool_effects_uninit(&pools[i].fx);
		free(pools[i].jobs);
	}
	free(pools);
}

static int64_t
total_usage(struct jobs_world **pools)
{
	int64_t cpu = 0;
	int i;

	for (i = 0; i < LOWERED_POOLS; i++)
		cpu += jobs_world_usage(pools[i], "account-0").cpu_milli;
	return cpu;
}

/* Tasks of half a second fill the cap, which is then halved. */
static void
measure_lowered_cap(void)
{
	struct jobs_world_opts o = {.workers = 4,
	    .cpu = 8000,
	    .memory_mb = 100000,
	    .link_ms = 2,
	    .store_ms = 4,
	    .guarded = true};
	struct cap_request r = {.controller = 1, .number = 1, .owner = 1};
	struct account_settings s = settings_of(0);
	struct jobs_world *pools[LOWERED_POOLS];
	struct job_spec *spec;
	struct cap_report report;
	int i, ms;

	r.fixed_divisor = LOWERED_POOLS;
	for (i = 0; i < LOWERED_POOLS; i++) {
		o.seed = (uint64_t)i + 1;
		pools[i] = jobs_world_new(&o);
		jobs_world_account(pools[i], &s);
		jobs_world_caller(pools[i], s.name);
		if (jobs_world_cap_request(pools[i], 0, &r, &report))
			cap_report_uninit(&report);
		for (ms = 0; ms < 10; ms++) {
			spec = jobs_order(1, 8, 1000, 500);
			jobs_world_submit(pools[i], spec, NULL);
			job_spec_unref(spec);
		}
		jobs_world_run(pools[i], 200 + i * 90);
	}
	s.cap.cpu_milli /= 2;
	s.cap.memory_mb /= 2;
	print("lowered", "used_before", (double)total_usage(pools), "milli");
	for (i = 0; i < LOWERED_POOLS; i++)
		jobs_world_account(pools[i], &s);
	for (ms = 0; ms < 5000 && total_usage(pools) > s.cap.cpu_milli; ms++) {
		for (i = 0; i < LOWERED_POOLS; i++)
			jobs_world_run(pools[i], 1);
	}
	print("lowered", "kept_after", ms, "ms");
	for (i = 0; i < LOWERED_POOLS; i++)
		jobs_world_free(pools[i]);
}

int
main(void)
{
	measure_lowered_cap();
	measure_exchange("20x5", 20, 5);
	measure_exchange("370x98", 370, 98);
	return 0;
}
