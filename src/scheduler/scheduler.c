#include "scheduler.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include "clock.h"
#include "controller.h"
#include "front.h"
#include "metric.h"
#include "membership.h"
#include "peer_server.h"
#include "service.h"
#include "shards.h"
#include "watch.h"

#define TICK_MS 500 /* settings, idle connections, ownership */
#define IDLE_MS 4000 /* a kept connection; both sides cut earlier or later */
#define LOG_LINES_PER_S 400 /* bounds the processor time of logs */
#define FILES_MAX 4096 /* of the library's table; the limit may be lower */
#define HEADER_POOL 256 /* requests whose headers are being read */
/* a planned stop: the balancer needs two looks, a second apart, to notice */
#define HAND_OVER_MS 300 /* for writes under way; the store may be away */
#define STOP_LINGER_MS 2600
#define LAST_ANSWERS_MS 400 /* for the way of final answers to callers */
#define STOP_MAX_MS 4500 /* well within the platform's grace */

static volatile sig_atomic_t stop_signal, reload_signal;

static struct {
	struct scheduler s;
	lws_sorted_usec_list_t tick;
	int64_t stop_begun_us;
	bool listening_ended;
	struct timespec settings_changed;
	int64_t last_boot_us;
} loop;

int64_t
sched_now_us(void)
{
	return clock_read_us(CLOCK_MONOTONIC);
}

int64_t
sched_boot_us(void)
{
	return clock_read_us(CLOCK_BOOTTIME);
}

int64_t
sched_now_ms(void)
{
	return clock_read_us(CLOCK_REALTIME) / US_PER_MS;
}

static void
on_signal(int number)
{
	if (number == SIGHUP)
		reload_signal = 1;
	else
		stop_signal = 1;
}

static void
catch_signals(void)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof(sa));
	sigemptyset(&sa.sa_mask);
	sa.sa_flags = SA_RESTART; /* settings are read whole; waits end */
	sa.sa_handler = on_signal;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	sigaction(SIGHUP, &sa, NULL);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &sa, NULL);
}

void
scheduler_config_changed(struct scheduler *s)
{
	shards_config_changed(s->shards);
	membership_config_changed(s->membership);
	controller_config_changed(s->controller);
}

/*
 * Bounds and addresses of the platform's services may change; where this
 * daemon listens is fixed for its life.
 */
static void
reload(struct scheduler *s, const char *why)
{
	struct boot b;
	struct err e;

	if (boot_load(&b, s->settings_path, &e) == -1) {
		daemon_log(LOG_LEVEL_ERROR, "scheduler",
		    "msg=\"settings are left as they were\" why=%s "
		    "error=\"%s\" remedy=\"%s\"",
		    why, e.message, e.remedy);
		return;
	}
	s->boot = b;
	daemon_log(LOG_LEVEL_INFO, "scheduler",
	    "msg=\"settings read again\" why=%s store=%s:%d", why, b.store.addr,
	    b.store.port);
}

static void
check_settings(struct scheduler *s)
{
	struct stat st;
	bool changed;

	if (stat(s->settings_path, &st) == -1)
		return; /* while it is being replaced */
	changed = st.st_mtim.tv_sec != loop.settings_changed.tv_sec ||
	    st.st_mtim.tv_nsec != loop.settings_changed.tv_nsec;
	loop.settings_changed = st.st_mtim;
	if (reload_signal || changed)
		reload(s, reload_signal ? "signal" : "file");
	reload_signal = 0;
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct scheduler *s = &loop.s;
	int64_t now = sched_boot_us();

	lws_sul_schedule(s->context, 0, sul, on_tick, TICK_MS * US_PER_MS);
	if (now - loop.last_boot_us > 2 * TICK_MS * US_PER_MS)
		daemon_log(LOG_LEVEL_WARN, "scheduler",
		    "msg=\"was not run for a while\" ms=%lld",
		    (long long)((now - loop.last_boot_us) / US_PER_MS));
	loop.last_boot_us = now;
	check_settings(s);
	shards_release_expired(s->shards);
	controller_check(s->controller);
	http_pool_expire(s->conns);
}

/* The library sizes and walks a table by the limit: keep it small. */
static void
limit_files(void)
{
	struct rlimit rl;

	if (getrlimit(RLIMIT_NOFILE, &rl) == -1)
		return;
	if (rl.rlim_cur > FILES_MAX)
		rl.rlim_cur = FILES_MAX;
	setrlimit(RLIMIT_NOFILE, &rl);
}

static int
open_all(struct scheduler *s, struct err *e)
{
	static const struct service_opts service = {
	    .header_pool = HEADER_POOL, .ipv4_only = true};

	limit_files();
	s->context = service_context_new(&service);
	if (s->context == NULL ||
	    service_client_vhost(s->context, &service) == -1)
		return err_set(e, ERR_IO, 0, "give the daemon more memory",
		    "no libwebsockets context");
	s->conns = http_pool_new(IDLE_MS);
	s->shards = shards_new(s);
	s->controller = controller_new(s);
	s->watch = watch_new(s);
	s->membership = membership_new(s);
	if (s->conns == NULL || s->shards == NULL || s->controller == NULL ||
	    s->watch == NULL || s->membership == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the daemon's state");
	s->peers = peer_server_new(s, e);
	if (s->peers == NULL)
		return -1;
	s->front = front_new(s, e);
	return s->front == NULL ? -1 : 0;
}

static void
close_all(struct scheduler *s)
{
	lws_sul_cancel(&loop.tick);
	controller_free(s->controller);
	shards_free(s->shards);
	front_close(s->front);
	membership_free(s->membership);
	watch_free(s->watch);
	http_pool_free(s->conns);
	if (s->context != NULL)
		lws_context_destroy(s->context);
	front_free(s->front);
	peer_server_free(s->peers);
	config_unref(s->config);
}

static void
begin_stop(struct scheduler *s)
{
	s->stopping = true;
	loop.stop_begun_us = sched_now_us();
	daemon_log(LOG_LEVEL_INFO, "scheduler",
	    "msg=\"planned stop begins\" requests=%zu", front_busy(s->front));
	front_leave(s->front);
}

/*
 * Pools are handed over first, then the balancer is given time to notice;
 * requests that still come are handed on to the new owners.
 */
static bool
stop_done(struct scheduler *s)
{
	int64_t ms = (sched_now_us() - loop.stop_begun_us) / US_PER_MS;

	shards_release_all(s->shards, ms >= HAND_OVER_MS);
	controller_assign(s->controller, false, 0);
	if (shards_empty(s->shards))
		membership_leave(s->membership);
	if (ms < STOP_LINGER_MS)
		return false;
	if (!loop.listening_ended) {
		loop.listening_ended = true;
		front_stop_listening(s->front);
	}
	if (ms > STOP_MAX_MS - LAST_ANSWERS_MS)
		front_answer_all(s->front);
	return front_busy(s->front) == 0 || ms > STOP_MAX_MS;
}

static void
run(struct scheduler *s)
{
	for (;;) {
		if (stop_signal && !s->stopping)
			begin_stop(s);
		if (s->stopping && stop_done(s))
			return;
		if (lws_service(s->context, 0) < 0)
			return;
	}
}

int
scheduler_run(const char *settings_path, struct err *e)
{
	struct scheduler *s = &loop.s;
	int ret = -1;

	memset(&loop, 0, sizeof(loop));
	catch_signals();
	lws_set_log_level(0, NULL);
	snprintf(
	    s->settings_path, sizeof(s->settings_path), "%s", settings_path);
	if (boot_load(&s->boot, settings_path, e) == -1)
		return -1;
	store_health_init(&s->store, sched_now_us());
	loop.last_boot_us = sched_boot_us();
	daemon_log_open("info", s->boot.name);
	daemon_log_to_stdout(LOG_LINES_PER_S);
	if (open_all(s, e) == -1) {
		daemon_log(LOG_LEVEL_ERROR, "scheduler",
		    "msg=\"cannot start\" error=\"%s\" remedy=\"%s\"",
		    e->message, e->remedy);
		goto out;
	}
	daemon_log(LOG_LEVEL_INFO, "scheduler",
	    "msg=started callers=%s:%d peers=%s:%d store=%s:%d "
	    "data_centre=%s",
	    s->boot.callers.addr, s->boot.callers.port, s->boot.ip,
	    s->boot.peer_port, s->boot.store.addr, s->boot.store.port,
	    s->boot.data_centre);
	check_settings(s);
	lws_sul_schedule(s->context, 0, &loop.tick, on_tick, 1);
	run(s);
	daemon_log(LOG_LEVEL_INFO, "scheduler", "msg=stopped");
	ret = 0;
out:
	close_all(s);
	daemon_log_close();
	return ret;
}

static void
write_histogram(const struct scheduler_counts *n, struct buf *out)
{
	static const char *const bounds[] = {"0.005", "0.01", "0.015", "0.025",
	    "0.06", "0.1", "0.25", "0.5", "1", "+Inf"};
	uint64_t sum = 0;
	char labels[32];
	size_t i;

	for (i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		sum += n->handin_ms_bucket[i];
		snprintf(labels, sizeof(labels), "le=\"%s\"", bounds[i]);
		metric_counter(out, "handin_seconds_bucket", NULL, labels, sum);
	}
	buf_printf(out, "mimosalead_handin_seconds_sum %.3f\n",
	    (double)n->handin_ms_sum / 1000);
	metric_counter(out, "handin_seconds_count", NULL, "", n->handin_count);
}

void
scheduler_metrics(const struct scheduler *s, struct buf *out)
{
	const struct scheduler_counts *n = &s->counts;

	metric_counter(
	    out, "requests_total", "callers' requests", "", n->requests);
	metric_counter(
	    out, "accepted_total", "jobs stored for callers", "", n->accepted);
	metric_counter(
	    out, "refused_total", "answered 429 or 503", "", n->refused);
	metric_counter(
	    out, "unknown_total", "answered 504", "", n->unknown_outcome);
	metric_counter(
	    out, "store_calls_total", "calls to the store", "", n->store_calls);
	metric_counter(out, "store_failed_total",
	    "calls without an answer of use", "", n->store_failed);
	metric_counter(out, "store_repeats_total",
	    "appends sent again before their answer", "", n->store_repeats);
	metric_counter(out, "store_records_too_large_total",
	    "records that the store would not take", "", n->records_too_large);
	metric_counter(out, "store_appends_unreadable_total",
	    "appends whose bytes the store refused", "", n->appends_unreadable);
	metric_counter(out, "worker_orders_total", "orders to workers", "",
	    n->worker_orders);
	metric_counter(out, "worker_unanswered_total",
	    "orders without an answer", "", n->worker_unanswered);
	metric_counter(out, "forwarded_total", "requests handed to owners", "",
	    n->forwarded);
	metric_counter(out, "held_back_total",
	    "tries that waited for a silent or busy owner", "", n->held_back);
	metric_counter(out, "connects_total", "connections made", "",
	    http_pool_connects(s->conns));
	metric_counter(
	    out, "takeovers_total", "pools taken over", "", n->takeovers);
	metric_gauge(out, "config_version", "version in force", "",
	    s->config != NULL ? s->config->version : -1);
	metric_gauge(out, "store_heard_ms_ago", "age of its newest answer", "",
	    store_health_silent_us(&s->store, sched_now_us()) / US_PER_MS);
	write_histogram(n, out);
	shards_metrics(s->shards, out);
}
