#include "serve.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <time.h>

#include "admin_server.h"
#include "caller_server.h"
#include "clock.h"
#include "http_context.h"
#include "peer_link.h"
#include "platform_client.h"
#include "shell.h"
#include "upstream.h"

#define HEADER_POOL_SIZE 65535 /* no request waits for header memory */
/*
 * A loop that makes this many iterations within SPIN_WINDOW_MS, more than
 * 300,000 a second, is spinning.
 */
#define SPIN_ITERATIONS 20000
#define SPIN_WINDOW_MS 66
#define SPIN_PAUSE_US 200
#define SPIN_PAUSE_COUNT 10000 /* about 2 s or more */
/* descriptors that are not callers' connections */
#define RESERVED_DESCRIPTORS 1024
/*
 * Bounds of the last phase of a planned stop, in which the daemon no longer
 * accepts callers.
 */
/* time to receive requests on connections accepted before */
#define STOP_DRAIN_MIN_MS 100
#define STOP_DRAIN_MAX_MS 2000 /* limit for writing answers and peer frames */

/* An event raised while effects were being carried out. */
struct queued_event {
	struct event ev;
	STAILQ_ENTRY(queued_event) entries;
};

/* State of the daemon; there is one daemon per process. */
static struct {
	struct shell shell;
	struct effects effects;
	bool stepping;
	STAILQ_HEAD(queued_list, queued_event) queue;
	lws_sorted_usec_list_t tick;
	int64_t reducer_stopped_us;
	/* loop iterations since iterations_start_us */
	int iterations;
	int64_t iterations_start_us;
	int pauses_left;
	int64_t callers_checked_us; /* last check for disconnected callers */
	bool callers_refused; /* callers' connections are refused */
} loop;

static volatile sig_atomic_t stop_signal;

static void
on_stop_signal(int number)
{
	(void)number;
	stop_signal = 1;
}

int64_t
shell_monotonic_us(void)
{
	return clock_read_us(CLOCK_MONOTONIC);
}

static uint64_t
random_u64(void)
{
	uint64_t n = 0;

	while (n == 0) {
		if (getrandom(&n, sizeof(n), 0) != sizeof(n))
			n = 0;
	}
	return n;
}

int64_t
shell_jitter_us(int64_t ms)
{
	static uint64_t state;
	int64_t us = ms * US_PER_MS;

	if (state == 0)
		state = random_u64();
	state ^= state << 13;
	state ^= state >> 7;
	state ^= state << 17;
	return us * 3 / 4 + (int64_t)(state % (uint64_t)(us / 2 + 1));
}

static void
run_effect(struct shell *sh, const struct effect *x)
{
	switch (x->kind) {
	case EFFECT_ATTEMPT:
		upstreams_attempt(sh->upstreams, x);
		break;
	case EFFECT_ATTEMPT_CANCEL:
		upstreams_cancel(sh->upstreams, x->u.cancel.id);
		break;
	case EFFECT_ANSWER:
		caller_server_answer(sh->callers, x);
		break;
	case EFFECT_PEER_SEND:
		peer_links_send(sh->links, x);
		break;
	case EFFECT_READ:
		platform_client_read(
		    sh->platform, x->u.read.stream, x->u.read.from);
		break;
	case EFFECT_APPEND:
		platform_client_append(sh->platform, x);
		break;
	case EFFECT_PLATFORM:
		platform_client_operate(sh->platform, x);
		break;
	case EFFECT_LOG:
		daemon_log(x->u.log.level, "core", "%s", x->u.log.line);
		break;
	case EFFECT_STOPPED:
		sh->reducer_stopped = true;
		loop.reducer_stopped_us = shell_monotonic_us();
		break;
	}
}

static void
step_once(struct shell *sh, struct event *ev)
{
	size_t i;

	ev->now_us = shell_monotonic_us();
	ev->wall_ms = clock_read_us(CLOCK_REALTIME) / US_PER_MS;
	core_step(sh->core, ev, &loop.effects);
	for (i = 0; i < loop.effects.count; i++)
		run_effect(sh, &loop.effects.list[i]);
	effects_clear(&loop.effects);
}

static void
queue_event(const struct event *ev)
{
	struct queued_event *q;

	q = calloc(1, sizeof(*q));
	if (q == NULL)
		abort(); /* the reducer must not miss an event */
	q->ev = *ev;
	STAILQ_INSERT_TAIL(&loop.queue, q, entries);
}

void
shell_handle_event(struct shell *sh, struct event *ev)
{
	struct queued_event *q;

	if (loop.stepping) {
		queue_event(ev);
		return;
	}
	loop.stepping = true;
	step_once(sh, ev);
	while ((q = STAILQ_FIRST(&loop.queue)) != NULL) {
		STAILQ_REMOVE_HEAD(&loop.queue, entries);
		step_once(sh, &q->ev);
		free(q);
	}
	loop.stepping = false;
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct event ev = {.kind = EVENT_TICK};
	struct shell *sh = &loop.shell;

	lws_sul_schedule(sh->context, 0, sul, on_tick,
	    (lws_usec_t)sh->settings->tick_ms * US_PER_MS);
	shell_handle_event(sh, &ev);
	if (ev.now_us - loop.callers_checked_us < US_PER_S)
		return;
	loop.callers_checked_us = ev.now_us;
	caller_server_check_disconnected(sh->callers, loop.pauses_left > 0);
}

/*
 * Limits open files to what the settings can use. libwebsockets sizes its
 * descriptor table by the process's limit and scans the whole table each time a
 * connection closes. If the hard limit is lower, the limit on callers is
 * lowered too: without free descriptors no upstream could be reached.
 */
static void
limit_descriptors(struct shell *sh)
{
	rlim_t needed =
	    (rlim_t)sh->settings->callers_max + RESERVED_DESCRIPTORS;
	struct rlimit rl;

	sh->callers_max = sh->settings->callers_max;
	if (getrlimit(RLIMIT_NOFILE, &rl) == -1)
		return;
	rl.rlim_cur = needed < rl.rlim_max ? needed : rl.rlim_max;
	setrlimit(RLIMIT_NOFILE, &rl);
	if (rl.rlim_cur == needed)
		return;
	sh->callers_max = rl.rlim_cur / 2 > RESERVED_DESCRIPTORS
	    ? (int)rl.rlim_cur - RESERVED_DESCRIPTORS
	    : (int)(rl.rlim_cur / 2);
	daemon_log(LOG_LEVEL_WARN, "serve",
	    "msg=\"limit of open files is too low, accepting fewer callers\" "
	    "limit=%llu callers_max=%d "
	    "remedy=\"raise the limit to %llu\"",
	    (unsigned long long)rl.rlim_cur, sh->callers_max,
	    (unsigned long long)needed);
}

static int
core_start(struct shell *sh, struct err *e)
{
	struct core_opts o;

	memset(&o, 0, sizeof(o));
	o.name = sh->settings->name;
	o.data_centre = sh->settings->data_centre;
	o.incarnation = sh->incarnation;
	o.seed = random_u64();
	sh->core = core_new(&o);
	if (sh->core == NULL)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the daemon's state");
	sh->daemon_id = core_id(sh->core);
	return 0;
}

static int
shell_open(struct shell *sh, struct err *e)
{
	static const struct http_context_opts service = {
	    .header_pool_size = HEADER_POOL_SIZE};

	sh->incarnation = random_u64();
	if (core_start(sh, e) == -1)
		return -1;
	limit_descriptors(sh);
	sh->context = http_context_new(&service);
	if (sh->context == NULL)
		return err_set(e, ERR_IO, 0,
		    "raise the limit of open files, give more memory",
		    "cannot create the libwebsockets context");
	if (http_context_add_client_vhost(sh->context, &service) == -1)
		return err_set(e, ERR_MEMORY, 0, "give the daemon more memory",
		    "no memory for the HTTP client");
	if ((sh->callers = caller_server_new(sh, e)) == NULL ||
	    (sh->admin = admin_server_new(sh, e)) == NULL ||
	    (sh->upstreams = upstreams_new(sh, e)) == NULL ||
	    (sh->links = peer_links_new(sh, e)) == NULL ||
	    (sh->platform = platform_client_new(sh, e)) == NULL)
		return -1;
	return 0;
}

static void
shell_close(struct shell *sh)
{
	loop.stepping = true; /* queue and drop events raised by closing */
	lws_sul_cancel(&loop.tick);
	platform_client_free(sh->platform);
	upstreams_free(sh->upstreams);
	peer_links_close(sh->links);
	if (sh->context != NULL)
		lws_context_destroy(sh->context);
	peer_links_free(sh->links);
	admin_server_free(sh->admin);
	caller_server_free(sh->callers);
	core_free(sh->core);
}

static void
loop_uninit(void)
{
	struct queued_event *q;

	while ((q = STAILQ_FIRST(&loop.queue)) != NULL) {
		STAILQ_REMOVE_HEAD(&loop.queue, entries);
		free(q);
	}
	effects_uninit(&loop.effects);
	memset(&loop, 0, sizeof(loop));
}

static void
begin_stop(struct shell *sh)
{
	struct event ev = {.kind = EVENT_STOP};

	sh->stopping = true;
	caller_server_close_after_answers(sh->callers);
	daemon_log(LOG_LEVEL_INFO, "serve", "msg=\"planned stop begins\"");
	shell_handle_event(sh, &ev);
}

/*
 * True at the end of a planned stop. Every caller whose connection was accepted
 * gets an answer: the daemon goes on listening for stop_linger_ms, then only
 * answers on open connections until they are idle or STOP_DRAIN_MAX_MS has
 * passed.
 */
static bool
stop_completed(struct shell *sh)
{
	int64_t ms =
	    (shell_monotonic_us() - loop.reducer_stopped_us) / US_PER_MS -
	    sh->settings->stop_linger_ms;

	if (ms < 0)
		return false;
	if (!loop.callers_refused) {
		loop.callers_refused = true;
		caller_server_stop_listening(sh->callers);
	}
	if (ms < STOP_DRAIN_MIN_MS)
		return false;
	return ms > STOP_DRAIN_MAX_MS ||
	    (caller_server_busy_count(sh->callers) == 0 &&
		admin_server_busy_count(sh->admin) == 0 &&
		peer_links_unsent_bytes(sh->links) == 0);
}

/*
 * Bounds the CPU time of a busy loop. libwebsockets polls without a pause while
 * it has buffered bytes that a caller sent behind a waiting request. A fully
 * loaded loop makes about 30,000 iterations a second. At ten times that rate,
 * short pauses are inserted for a while, which delay other callers by a
 * fraction of 1 ms.
 */
static void
throttle_busy_loop(void)
{
	static const struct timespec pause = {.tv_nsec = SPIN_PAUSE_US * 1000};
	int64_t now;

	if (++loop.iterations >= SPIN_ITERATIONS) {
		now = shell_monotonic_us();
		if (now - loop.iterations_start_us < SPIN_WINDOW_MS * US_PER_MS)
			loop.pauses_left = SPIN_PAUSE_COUNT;
		loop.iterations = 0;
		loop.iterations_start_us = now;
	}
	if (loop.pauses_left == 0)
		return;
	loop.pauses_left--;
	nanosleep(&pause, NULL);
}

static void
run_loop(struct shell *sh)
{
	while (!sh->reducer_stopped || !stop_completed(sh)) {
		if (stop_signal && !sh->stopping)
			begin_stop(sh);
		throttle_busy_loop();
		if (lws_service(sh->context, 0) < 0)
			break;
	}
}

static void
install_signal_handlers(void)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof(sa));
	sigemptyset(&sa.sa_mask);
	sa.sa_handler = on_stop_signal;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &sa, NULL);
}

int
serve_run(const struct settings *s, struct err *e)
{
	struct shell *sh = &loop.shell;
	int ret = -1;

	memset(&loop, 0, sizeof(loop));
	STAILQ_INIT(&loop.queue);
	effects_init(&loop.effects);
	sh->settings = s;
	lws_set_log_level(0, NULL);
	daemon_log_open(s->log_level, s->name);
	install_signal_handlers();
	if (shell_open(sh, e) == -1)
		goto out;
	daemon_log(LOG_LEVEL_INFO, "serve",
	    "msg=started callers=%s:%d admin=%s:%d peer=%s:%d", s->listen.addr,
	    s->listen.port, s->admin.addr, s->admin.port, s->peer.addr,
	    s->peer.port);
	lws_sul_schedule(sh->context, 0, &loop.tick, on_tick, 1);
	run_loop(sh);
	daemon_log(LOG_LEVEL_INFO, "serve", "msg=stopped");
	ret = 0;
out:
	shell_close(sh);
	loop_uninit();
	daemon_log_close();
	return ret;
}
