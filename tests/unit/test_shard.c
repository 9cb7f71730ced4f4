/* One owned pool in an event loop, without a network. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "config_relay.h"
#include "http_context.h"
#include "http_json.h"
#include "pool_state.h"
#include "shard.h"
#include "store_watch.h"

/*
 * Shorter than the ownership is confirmed for; the monotonic clock stands still
 * meanwhile.
 */
#define SUSPENDED_MS 2500
#define REQUEST_MS 5 /* processing of one request */
#define REQUESTS_PER_PASS 100 /* of the event loop */

static int64_t suspended_us;
static struct scheduler scheduler;
static struct shard *shard;
static struct worker_report entry = {
    .id = "w-1",
    .started_ms = 1,
    .pool = "blue",
    .addr = "127.0.0.1",
    .port = 1,
    .cpu_milli = 8000,
    .memory_mb = 8000,
};

/* Replaces the C library's function in this program. */
int
clock_gettime(clockid_t id, struct timespec *ts)
{
	int ret = (int)syscall(SYS_clock_gettime, id, ts);

	if (id == CLOCK_BOOTTIME) {
		ts->tv_sec += suspended_us / US_PER_S;
		ts->tv_nsec += suspended_us % US_PER_S * 1000;
		ts->tv_sec += ts->tv_nsec / 1000000000;
		ts->tv_nsec %= 1000000000;
	}
	return ret;
}

static void
ignore_stored(void *arg, uint64_t serial)
{
	(void)arg;
	(void)serial;
}

static void
ignore_fenced(void *arg, const char *why)
{
	(void)arg;
	(void)why;
}

/* An owned pool with one worker. */
static void
setup_unanswered(void)
{
	static const struct http_context_opts service = {
	    .header_pool_size = 4, .ipv4_only = true};
	struct pool_opts pool_opts = {.name = "blue",
	    .fence = 1,
	    .now_us = sched_boottime_us(),
	    .now_ms = sched_unix_ms(),
	    .lease_ms = 4000,
	    .lease_max_ms = 6000};
	struct store_writer_opts writer_opts = {
	    .scheduler = &scheduler,
	    .topic = "jobs",
	    .epoch = 1,
	    .epoch_established = true,
	    .on_stored = ignore_stored,
	    .on_fenced = ignore_fenced,
	};
	struct pool_event ev = {.kind = POOL_LOADED};

	lws_set_log_level(0, NULL);
	scheduler.context = http_context_new(&service);
	cr_assert_not_null(scheduler.context);
	http_context_add_client_vhost(scheduler.context, &service);
	loop_lag_start(&scheduler.loop_lag, scheduler.context);
	scheduler.http_connections = http_pool_new(1000);
	snprintf(
	    scheduler.settings.store_endpoint.addr, ADDR_BYTES, "127.0.0.1");
	scheduler.settings.store_endpoint.port = 1;
	store_health_init(&scheduler.store_state, sched_monotonic_us());
	scheduler.shards = shards_new(&scheduler);
	scheduler.relay = config_relay_new(&scheduler);
	scheduler.watcher = store_watch_new(&scheduler);
	shard = calloc(1, sizeof(*shard));
	cr_assert_not_null(shard);
	shard->all = scheduler.shards;
	shard->scheduler = &scheduler;
	snprintf(shard->pool_name, sizeof(shard->pool_name), "blue");
	shard->state = SHARD_OWNING;
	shard->fence = 1;
	shard->confirmed_boot_us = sched_boottime_us();
	LIST_INIT(&shard->commands);
	shard->writer = store_writer_new(&writer_opts);
	shard->pool = pool_new(&pool_opts);
	cr_assert_not_null(shard->pool);
	shard_handle_event(shard, &ev);
	ev.kind = POOL_WORKER_ENTRY;
	ev.u.worker.report = &entry;
	shard_handle_event(shard, &ev);
}

static void
setup(void)
{
	struct pool_event ev = {.kind = POOL_RENEWAL_DONE};
	struct renewal_report answer = {.clock_ms = 1000};

	setup_unanswered();
	snprintf(ev.u.renewal.worker, NAME_BYTES, "w-1");
	ev.u.renewal.result = COMMAND_ACCEPTED;
	ev.u.renewal.report = &answer;
	shard_handle_event(shard, &ev);
}

static void
find_cordon(void *arg, const struct pool_worker_view *v)
{
	*(bool *)arg = v->cordoned;
}

static bool
cordoned(void)
{
	bool found = false;

	pool_each_worker(shard->pool, find_cordon, &found);
	return found;
}

Test(shard, a_cordon_ends_while_its_owner_is_suspended, .init = setup)
{
	struct pool_event ev = {.kind = POOL_CORDON};

	snprintf(ev.u.cordon.id, NAME_BYTES, "w-1");
	shard_handle_event(shard, &ev);
	cr_assert(cordoned());
	suspended_us += SUSPENDED_MS * US_PER_MS;
	ev.kind = POOL_TICK;
	shard_handle_event(shard, &ev);
	cr_assert_not(shard->term_ended);
	cr_expect_not(cordoned());
}

/* Each request puts the pool's tick off. */
Test(shard, a_loop_that_requests_keep_busy_counts_as_late, .init = setup)
{
	struct pool_event ev = {.kind = POOL_COUNT_WAITING};
	int i;

	for (i = 0; i < 6 * REQUESTS_PER_PASS; i++) {
		usleep(REQUEST_MS * 1000);
		shard_handle_event(shard, &ev);
		if (i % REQUESTS_PER_PASS == 0)
			lws_service(scheduler.context, -1);
	}
	cr_expect_geq(shard->pool->loop_lag_us, 300 * US_PER_MS, "%lld us",
	    (long long)shard->pool->loop_lag_us);
}

static int
listen_as_worker(void)
{
	int fd = raw_listen(&entry.port);

	cr_assert_neq(fd, -1);
	return fd;
}

static void
service(int ms)
{
	while (ms-- > 0) {
		lws_service(scheduler.context, -1);
		usleep(1000);
	}
}

static void
count_worker(void *arg, const struct pool_worker_view *v)
{
	(void)v;
	(*(int *)arg)++;
}

/* Workers that have answered, where one answer is read so much later. */
static int
workers_answered_after(int ms)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n"
	    "{\"clockMs\":482113,\"running\":[],\"ended\":[]} ";
	int fd = listen_as_worker(), conn, n = 0;

	setup_unanswered();
	service(50);
	conn = accept(fd, NULL, NULL);
	cr_assert_eq(write(conn, answer, sizeof(answer) - 1),
	    (ssize_t)sizeof(answer) - 1);
	suspended_us += ms * US_PER_MS;
	service(50);
	pool_each_worker(shard->pool, count_worker, &n);
	return n;
}

Test(shard, an_answer_to_a_renewal_is_taken)
{
	cr_expect_eq(workers_answered_after(0), 1);
}

/* The worker's clock in it is old: leases by it would be too short. */
Test(shard, an_answer_to_a_renewal_that_is_read_seconds_late_is_ignored)
{
	cr_expect_eq(workers_answered_after(SUSPENDED_MS), 0);
}

/* The pool's only worker rejects the fence of the renewal that it has got. */
static void
reject_fence(int worker)
{
	static const char answer[] =
	    "HTTP/1.1 409 Conflict\r\nContent-Length: 33\r\n\r\n"
	    "{\"clockMs\":4821,\"reason\":\"fence\"}";
	int i, conn = accept(worker, NULL, NULL);

	cr_assert_eq(write(conn, answer, sizeof(answer) - 1),
	    (ssize_t)sizeof(answer) - 1);
	for (i = 0; i < 50 && !shard->term_ended; i++)
		service(1);
}

Test(shard, a_worker_that_rejects_the_fence_ends_the_term)
{
	int worker = listen_as_worker();

	setup_unanswered();
	service(50);
	reject_fence(worker);
	cr_expect(shard->term_ended);
}

Test(shard, a_fence_from_before_a_restart_that_is_rejected_ends_no_term)
{
	struct pool_event ev = {.kind = POOL_WORKER_ENTRY};
	int worker = listen_as_worker();

	setup_unanswered();
	service(50);
	entry.started_ms++;
	ev.u.worker.report = &entry;
	shard_handle_event(shard, &ev);
	reject_fence(worker);
	cr_expect_not(shard->term_ended);
}
