#include "scheduler.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include "clock.h"
#include "config_relay.h"
#include "controller.h"
#include "home_registry.h"
#include "job_frontend.h"
#include "long_name.h"
#include "metric.h"
#include "membership.h"
#include "peer_server.h"
#include "http_context.h"
#include "shards.h"
#include "store_watch.h"

#define HOMES_CHECK_MS 2000 /* which pools are homes of which queues */
#define TICK_MS 500 /* polls settings, idle connections, ownership */
/*
 * Idle connections are closed after this time; servers may close them earlier
 * or later.
 */
#define IDLE_CONNECTION_MS 4000
#define LOG_LINES_MAX_PER_S 400 /* bounds the CPU time spent on logging */
/* Size of libwebsockets' descriptor table, unless RLIMIT_NOFILE is lower. */
#define OPEN_FILES_MAX 4096
#define HEADER_BUFFER_COUNT 256 /* requests with headers being parsed */
/* Planned stop: wait this long for unfinished writes; the store may be down. */
#define HANDOVER_MS 300
/*
 * The load balancer needs two readiness checks, a second apart, to stop sending
 * callers here.
 */
#define STOP_LINGER_MS 2600
#define FINAL_ANSWERS_MS 400 /* to deliver the last answers to callers */
#define STOP_MAX_MS 4500 /* well below the platform's grace period */

static volatile sig_atomic_t stop_signal, reload_signal;

static struct {
	struct scheduler s;
	lws_sorted_usec_list_t tick;
	int64_t stop_started_us;
	bool listener_stopped;
	struct timespec settings_mtime;
	int64_t last_tick_boottime_us;
	int64_t homes_due_boottime_us; /* next shards_check_homes() */
} loop;

int64_t
sched_monotonic_us(void)
{
	return clock_read_us(CLOCK_MONOTONIC);
}

int64_t
sched_boottime_us(void)
{
	return clock_read_us(CLOCK_BOOTTIME);
}

int64_t
sched_unix_ms(void)
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
install_signal_handlers(void)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof(sa));
	sigemptyset(&sa.sa_mask);
	/* reading settings is not interrupted; poll() in the event loop is */
	sa.sa_flags = SA_RESTART;
	sa.sa_handler = on_signal;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	sigaction(SIGHUP, &sa, NULL);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &sa, NULL);
}

void
scheduler_set_config(struct scheduler *s, struct config *c)
{
	struct config *before = s->config;

	config_inherit_accounts(c, before);
	caller_auth_log_config(c);
	s->config = c;
	shards_config_changed(
	    s->shards, before != NULL ? before->accounts : NULL);
	membership_config_changed(s->membership);
	controller_config_changed(s->controller);
	config_relay_config_changed(s->relay);
	config_unref(before);
}

/*
 * Limits and the addresses of the platform's services take effect at once; the
 * listen addresses are fixed until the process restarts.
 */
static void
reload_settings(struct scheduler *s, const char *why)
{
	struct platform_settings loaded;
	struct err e;

	if (platform_settings_load(&loaded, s->settings_path, &e) == -1) {
		daemon_log(LOG_LEVEL_ERROR, "scheduler",
		    "msg=\"cannot reload settings: the previous ones stay in "
		    "force\" why=%s error=\"%s\" remedy=\"%s\"",
		    why, e.message, e.remedy);
		return;
	}
	s->settings = loaded;
	daemon_log(LOG_LEVEL_INFO, "scheduler",
	    "msg=\"settings reloaded\" why=%s store=%s:%d", why,
	    loaded.store_endpoint.addr, loaded.store_endpoint.port);
}

static void
poll_settings(struct scheduler *s)
{
	struct stat st;
	bool changed;

	if (stat(s->settings_path, &st) == -1)
		return; /* the file is being replaced; try at the next tick */
	changed = st.st_mtim.tv_sec != loop.settings_mtime.tv_sec ||
	    st.st_mtim.tv_nsec != loop.settings_mtime.tv_nsec;
	loop.settings_mtime = st.st_mtim;
	if (reload_signal || changed)
		reload_settings(s, reload_signal ? "signal" : "file");
	reload_signal = 0;
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct scheduler *s = &loop.s;
	int64_t now = sched_boottime_us();

	lws_sul_schedule(s->context, 0, sul, on_tick, TICK_MS * US_PER_MS);
	if (now - loop.last_tick_boottime_us > 2 * TICK_MS * US_PER_MS)
		daemon_log(LOG_LEVEL_WARN, "scheduler",
		    "msg=\"event loop ran late: process was stopped or "
		    "overloaded\" ms=%lld",
		    (long long)((now - loop.last_tick_boottime_us) /
			US_PER_MS));
	loop.last_tick_boottime_us = now;
	poll_settings(s);
	shards_release_expired(s->shards);
	if (now >= loop.homes_due_boottime_us) {
		loop.homes_due_boottime_us = now + HOMES_CHECK_MS * US_PER_MS;
		shards_check_homes(s->shards);
	}
	controller_check(s->controller);
	http_pool_expire(s->http_connections);
}

/*
 * libwebsockets allocates and scans a table with RLIMIT_NOFILE entries: keeps
 * it small.
 */
static void
limit_open_files(void)
{
	struct rlimit rl;

	if (getrlimit(RLIMIT_NOFILE, &rl) == -1)
		return;
	if (rl.rlim_cur > OPEN_FILES_MAX)
		rl.rlim_cur = OPEN_FILES_MAX;
	setrlimit(RLIMIT_NOFILE, &rl);
}

static int
open_modules(struct scheduler *s, struct err *e)
{
	static const struct http_context_opts service = {
	    .header_pool_size = HEADER_BUFFER_COUNT, .ipv4_only = true};

	limit_open_files();
	s->context = http_context_new(&service);
	if (s->context == NULL ||
	    http_context_add_client_vhost(s->context, &service) == -1)
		return err_set(e, ERR_IO, 0, "give the daemon more memory",
		    "cannot create a libwebsockets context");
	loop_lag_start(&s->loop_lag, s->context);
	s->http_connections = http_pool_new(IDLE_CONNECTION_MS);
	s->homes = home_registry_new(s);
	s->shards = shards_new(s);
	s->controller = controller_new(s);
	s->relay = config_relay_new(s);
	s->watcher = store_watch_new(s);
	s->membership = membership_new(s);
	if (s->http_connections == NULL || s->homes == NULL ||
	    s->shards == NULL || s->controller == NULL || s->relay == NULL ||
	    s->watcher == NULL || s->membership == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "out of memory for the daemon's state");
	s->peer_listener = peer_server_new(s, e);
	if (s->peer_listener == NULL)
		return -1;
	s->frontend = job_frontend_new(s, e);
	return s->frontend == NULL ? -1 : 0;
}

static void
close_modules(struct scheduler *s)
{
	lws_sul_cancel(&loop.tick);
	loop_lag_stop(&s->loop_lag);
	controller_free(s->controller);
	shards_free(s->shards);
	home_registry_free(s->homes);
	job_frontend_cancel_requests(s->frontend);
	membership_free(s->membership);
	store_watch_free(s->watcher);
	config_relay_free(s->relay);
	http_pool_free(s->http_connections);
	if (s->context != NULL)
		lws_context_destroy(s->context);
	job_frontend_free(s->frontend);
	peer_server_free(s->peer_listener);
	config_unref(s->config);
	long_names_uninit();
}

static void
begin_stop(struct scheduler *s)
{
	s->stopping = true;
	loop.stop_started_us = sched_monotonic_us();
	daemon_log(LOG_LEVEL_INFO, "scheduler",
	    "msg=\"planned stop begins\" requests=%zu",
	    job_frontend_pending_count(s->frontend));
	job_frontend_close_connections(s->frontend);
}

/*
 * Advances a planned stop; returns true when it is complete.  Pools are
 * released first, then the load balancer is given time to notice.  Requests
 * that still arrive are forwarded to the new owners.
 */
static bool
advance_stop(struct scheduler *s)
{
	int64_t ms = (sched_monotonic_us() - loop.stop_started_us) / US_PER_MS;

	shards_release_all(s->shards, ms >= HANDOVER_MS);
	controller_assign(s->controller, false, 0);
	if (shards_empty(s->shards))
		membership_leave(s->membership);
	if (ms < STOP_LINGER_MS)
		return false;
	if (!loop.listener_stopped) {
		loop.listener_stopped = true;
		job_frontend_stop_listening(s->frontend);
	}
	if (ms > STOP_MAX_MS - FINAL_ANSWERS_MS)
		job_frontend_answer_all(s->frontend);
	return job_frontend_pending_count(s->frontend) == 0 || ms > STOP_MAX_MS;
}

static void
run_loop(struct scheduler *s)
{
	for (;;) {
		if (stop_signal && !s->stopping)
			begin_stop(s);
		if (s->stopping && advance_stop(s))
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
	install_signal_handlers();
	lws_set_log_level(0, NULL);
	snprintf(
	    s->settings_path, sizeof(s->settings_path), "%s", settings_path);
	if (platform_settings_load(&s->settings, settings_path, e) == -1)
		return -1;
	store_health_init(&s->store_state, sched_monotonic_us());
	loop.last_tick_boottime_us = sched_boottime_us();
	daemon_log_open("info", s->settings.name);
	daemon_log_to_stdout(LOG_LINES_MAX_PER_S);
	if (open_modules(s, e) == -1) {
		daemon_log(LOG_LEVEL_ERROR, "scheduler",
		    "msg=\"scheduler cannot start: exits\" error=\"%s\" "
		    "remedy=\"%s\"",
		    e->message, e->remedy);
		goto out;
	}
	daemon_log(LOG_LEVEL_INFO, "scheduler",
	    "msg=started callers=%s:%d peers=%s:%d store=%s:%d "
	    "data_centre=%s",
	    s->settings.caller_endpoint.addr, s->settings.caller_endpoint.port,
	    s->settings.ip, s->settings.peer_port,
	    s->settings.store_endpoint.addr, s->settings.store_endpoint.port,
	    s->settings.data_centre);
	poll_settings(s);
	lws_sul_schedule(s->context, 0, &loop.tick, on_tick, 1);
	run_loop(s);
	daemon_log(LOG_LEVEL_INFO, "scheduler", "msg=stopped");
	ret = 0;
out:
	close_modules(s);
	daemon_log_close();
	return ret;
}

static void
write_histogram(const struct scheduler_counters *n, struct buf *out)
{
	static const char *const bounds[] = {"0.005", "0.01", "0.015", "0.025",
	    "0.06", "0.1", "0.25", "0.5", "1", "+Inf"};
	uint64_t sum = 0;
	char labels[32];
	size_t i;

	for (i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		sum += n->submit_ms_buckets[i];
		snprintf(labels, sizeof(labels), "le=\"%s\"", bounds[i]);
		metric_counter(out, "handin_seconds_bucket", NULL, labels, sum);
	}
	buf_printf(out, "mimosalead_handin_seconds_sum %.3f\n",
	    (double)n->submit_ms_sum / 1000);
	metric_counter(out, "handin_seconds_count", NULL, "", n->submit_count);
}

void
scheduler_metrics(const struct scheduler *s, struct buf *out)
{
	const struct scheduler_counters *n = &s->counters;

	metric_counter(
	    out, "requests_total", "callers' requests", "", n->requests);
	metric_counter(
	    out, "accepted_total", "jobs stored for callers", "", n->accepted);
	caller_auth_metrics(&s->caller_auth, out);
	metric_counter(
	    out, "refused_total", "answered 429 or 503", "", n->refused);
	metric_counter(out, "config_unconfirmed_total",
	    "answered 503, as the configuration was not confirmed", "",
	    n->config_unconfirmed);
	metric_counter(
	    out, "unknown_total", "answered 504", "", n->outcome_unknown);
	metric_counter(
	    out, "store_calls_total", "calls to the store", "", n->store_calls);
	metric_counter(out, "store_failed_total",
	    "calls without an answer of use", "", n->store_calls_failed);
	metric_counter(out, "store_repeats_total",
	    "appends sent again before their answer", "", n->appends_repeated);
	metric_counter(out, "store_records_too_large_total",
	    "records that the store would not take", "", n->records_too_large);
	metric_counter(out, "store_appends_unreadable_total",
	    "appends whose bytes the store refused", "", n->appends_unreadable);
	metric_counter(out, "worker_orders_total", "orders to workers", "",
	    n->worker_commands);
	metric_counter(out, "worker_unanswered_total",
	    "orders without an answer", "", n->worker_commands_unanswered);
	metric_counter(out, "forwarded_total", "requests handed to owners", "",
	    n->requests_forwarded);
	metric_counter(out, "owner_queries_total",
	    "requests to owners that had not answered others", "",
	    n->owner_queries);
	metric_counter(out, "held_back_total",
	    "tries that waited for a silent or busy owner", "",
	    n->forwards_deferred);
	metric_counter(out, "connects_total", "connections made", "",
	    http_pool_connect_count(s->http_connections));
	metric_counter(
	    out, "takeovers_total", "pools taken over", "", n->takeovers);
	controller_metrics(s->controller, out);
	metric_gauge(out, "config_version", "version in force", "",
	    s->config != NULL ? s->config->version : -1);
	metric_gauge(out, "store_heard_ms_ago", "age of its newest answer", "",
	    store_health_answer_age_us(&s->store_state, sched_monotonic_us()) /
		US_PER_MS);
	write_histogram(n, out);
	config_relay_metrics(s->relay, out);
	shards_metrics(s->shards, out);
}
