#include "config_relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_call.h"
#include "membership.h"
#include "metric.h"
#include "store_watch.h"

#define MALFORMED_LOG_INTERVAL_MS 1000

struct config_relay {
	struct scheduler *scheduler;
	struct config_trust trust;
	lws_sorted_usec_list_t timer;
	struct http_call *call; /* the ask in flight */
	struct endpoint asked;
	int64_t sent_us;
	bool current; /* as last logged */
	int64_t malformed_logged_us;
	/* Totals; bytes are those of the messages' bodies. */
	uint64_t asks, asks_unanswered, answers_given, configs_received;
	uint64_t bytes_sent, bytes_received, changes;
};

static void on_timer(lws_sorted_usec_list_t *sul);

static bool
is_active(const struct config_relay *r)
{
	const struct config *c = r->scheduler->config;

	return c == NULL || c->accounts != NULL;
}

static int64_t
version_in_force(const struct scheduler *s)
{
	return s->config != NULL ? s->config->version : -1;
}

static void
schedule(struct config_relay *r)
{
	int64_t now_us = sched_boottime_us();
	int64_t wake_us = config_trust_wake_us(&r->trust, now_us);

	if (!is_active(r) || wake_us == INT64_MAX) {
		lws_sul_cancel(&r->timer);
		return;
	}
	lws_sul_schedule(r->scheduler->context, 0, &r->timer, on_timer,
	    wake_us > now_us ? wake_us - now_us : 1);
}

static bool
is_current(const struct config_relay *r, int64_t now_us)
{
	const struct platform_settings *p = &r->scheduler->settings;
	struct config_trust_bounds b = {
	    .apply_ms = p->config_apply_ms,
	    .max_stretch_ms = p->max_stretch_ms,
	};

	return config_trust_current(&r->trust, now_us, &b);
}

/* Logs a change between confirmed and unconfirmed; returns the state. */
static bool
note_state(struct config_relay *r)
{
	int64_t now_us = sched_boottime_us();
	int64_t age_us = config_trust_age_us(&r->trust, now_us);
	bool current = is_current(r, now_us);

	if (current == r->current || r->scheduler->config == NULL)
		return current;
	r->current = current;
	r->changes++;
	daemon_log(current ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "relay",
	    "msg=\"%s\" age_ms=%lld version=%lld peers=%zu "
	    "peer_answer_ms_ago=%lld stale_asks=%d",
	    current ? "configuration is confirmed: calls are taken"
		    : "configuration is not confirmed: calls that need a key "
		      "are refused",
	    (long long)(age_us >= 0 ? age_us / US_PER_MS : -1),
	    (long long)version_in_force(r->scheduler), r->trust.peer_count,
	    (long long)(r->trust.answered_us != 0
		    ? (now_us - r->trust.answered_us) / US_PER_MS
		    : -1),
	    r->trust.stale_asks);
	return current;
}

bool
config_relay_trusts(struct config_relay *r)
{
	const struct config *c = r->scheduler->config;

	return c == NULL || c->accounts == NULL || note_state(r);
}

static void
log_malformed(struct config_relay *r, const char *what)
{
	int64_t now_us = sched_monotonic_us();

	if (r->malformed_logged_us != 0 &&
	    now_us - r->malformed_logged_us <
		MALFORMED_LOG_INTERVAL_MS * US_PER_MS)
		return;
	r->malformed_logged_us = now_us;
	daemon_log(LOG_LEVEL_WARN, "relay",
	    "msg=\"%s of a peer is malformed: ignored\" peer=%s:%d", what,
	    r->asked.addr, r->asked.port);
}

/* False where the record is malformed: it then confirms nothing. */
static bool
take_record(struct config_relay *r, const struct config_answer *a)
{
	struct scheduler *s = r->scheduler;

	if (a->value == NULL)
		return true;
	switch (store_watch_take_config(
	    s->watcher, a->value->data, a->value->len)) {
	case CONFIG_TAKEN:
		r->configs_received++;
		daemon_log(LOG_LEVEL_INFO, "relay",
		    "msg=\"configuration came from a peer\" version=%lld "
		    "age_ms=%lld peer=%s:%d",
		    (long long)version_in_force(s), (long long)a->age_ms,
		    r->asked.addr, r->asked.port);
		return true;
	case CONFIG_NOT_NEWER:
		return true;
	case CONFIG_MALFORMED:
		break;
	}
	log_malformed(r, "the configuration");
	return false;
}

/* False where the answer is of no use. */
static bool
take_answer(struct config_relay *r, const struct buf *body)
{
	struct scheduler *s = r->scheduler;
	struct config_answer a;
	struct err e;
	bool ok;

	if (body == NULL ||
	    config_answer_decode(&a, body->data, body->len, &e) == -1) {
		log_malformed(r, "the answer");
		return false;
	}
	ok = take_record(r, &a);
	if (ok) {
		config_trust_answered(&r->trust, sched_boottime_us(),
		    r->sent_us, a.age_ms >= 0 ? a.age_ms * US_PER_MS : -1);
		config_relay_add_peer(r, &r->asked);
		if (a.owners.age_ms >= 0)
			membership_adopt_owners(s->membership, &a.owners,
			    r->sent_us - a.owners.age_ms * US_PER_MS);
	}
	config_answer_uninit(&a);
	return ok;
}

static void
on_answer(void *arg, enum http_outcome end, struct answer *a)
{
	struct config_relay *r = arg;

	r->call = NULL;
	if (end == HTTP_ANSWERED && a->body != NULL)
		r->bytes_received += a->body->len;
	if (end != HTTP_ANSWERED || a->status != 200 ||
	    !take_answer(r, a->body)) {
		r->asks_unanswered++;
		config_trust_unanswered(&r->trust, sched_boottime_us());
	}
	config_relay_trusts(r);
	schedule(r);
}

static void
ask(struct config_relay *r, const struct endpoint *to)
{
	struct scheduler *s = r->scheduler;
	struct http_call_opts o = {
	    .context = s->context,
	    .pool = s->http_connections,
	    .idempotent = true,
	    .addr = to->addr,
	    .port = to->port,
	    .method = "POST",
	    .path = PEER_PATH_CONFIG,
	    .timeout_ms = CONFIG_ASK_TIMEOUT_MS,
	    .answer_body_max_bytes = CONFIG_ANSWER_MAX_BYTES,
	    .on_done = on_answer,
	    .arg = r,
	};

	r->asked = *to;
	r->sent_us = sched_boottime_us();
	r->asks++;
	o.body = config_request_encode(version_in_force(s));
	if (o.body != NULL) {
		r->bytes_sent += o.body->len;
		r->call = http_call_start(&o, NULL);
	}
	buf_unref(o.body);
	if (r->call != NULL)
		return;
	r->asks_unanswered++;
	config_trust_unanswered(&r->trust, sched_boottime_us());
}

static void
on_timer(lws_sorted_usec_list_t *sul)
{
	struct config_relay *r =
	    lws_container_of(sul, struct config_relay, timer);
	struct endpoint to;

	if (is_active(r) &&
	    config_trust_ask(&r->trust, sched_boottime_us(),
		version_in_force(r->scheduler), &to))
		ask(r, &to);
	config_relay_trusts(r);
	schedule(r);
}

void
config_relay_read_started(struct config_relay *r, int long_poll_ms)
{
	config_trust_read_started(&r->trust, sched_boottime_us(), long_poll_ms);
	schedule(r);
}

void
config_relay_read_ended(
    struct config_relay *r, enum config_read_end end, int64_t sent_us)
{
	config_trust_read_ended(&r->trust, end, sent_us);
	config_relay_trusts(r);
	schedule(r);
}

void
config_relay_config_changed(struct config_relay *r)
{
	schedule(r);
}

void
config_relay_add_peer(struct config_relay *r, const struct endpoint *at)
{
	const struct platform_settings *p = &r->scheduler->settings;

	if (at->port == p->peer_port && strcmp(at->addr, p->ip) == 0)
		return;
	config_trust_add_peer(&r->trust, sched_boottime_us(), at);
}

void
config_relay_heard_from(struct config_relay *r, const char *addr)
{
	struct endpoint at = {.port = r->scheduler->settings.peer_port};

	if (!is_active(r) || addr[0] == '\0' || strlen(addr) >= sizeof(at.addr))
		return;
	snprintf(at.addr, sizeof(at.addr), "%s", addr);
	config_relay_add_peer(r, &at);
}

void
config_relay_version_seen(
    struct config_relay *r, const struct endpoint *at, int64_t version)
{
	if (r == NULL || version == 0 || !is_active(r) ||
	    !config_trust_supersedes(version, version_in_force(r->scheduler)))
		return;
	config_trust_newer_seen(&r->trust, sched_boottime_us(), at, version);
	schedule(r);
}

int64_t
config_relay_shown_version(const struct scheduler *s)
{
	return s->config != NULL && s->config->accounts != NULL
	    ? s->config->version
	    : 0;
}

struct buf *
config_relay_answer(struct config_relay *r, const struct buf *request)
{
	struct scheduler *s = r->scheduler;
	struct config_answer a = {.age_ms = -1};
	int64_t age_us, have;
	struct buf *out;
	struct err e;

	if (request == NULL ||
	    config_request_decode(&have, request->data, request->len, &e) == -1)
		return NULL;
	age_us = config_trust_age_us(&r->trust, sched_boottime_us());
	if (s->config != NULL && age_us >= 0)
		a.age_ms = (age_us + US_PER_MS - 1) / US_PER_MS;
	if (config_trust_supersedes(version_in_force(s), have))
		a.value = store_watch_config_record(s->watcher);
	/* without the record, the age would confirm the asker's older version
	 */
	if (config_trust_supersedes(version_in_force(s), have) &&
	    a.value == NULL)
		a.age_ms = -1;
	membership_known_owners(s->membership, &a.owners);
	out = config_answer_encode(&a);
	if (out != NULL) {
		r->answers_given++;
		r->bytes_received += request->len;
		r->bytes_sent += out->len;
	}
	return out;
}

void
config_relay_metrics(const struct config_relay *r, struct buf *out)
{
	int64_t age_us = config_trust_age_us(&r->trust, sched_boottime_us());

	metric_counter(out, "config_asks_total",
	    "requests to peers for the configuration", "", r->asks);
	metric_counter(out, "config_asks_unanswered_total",
	    "of these without an answer of use", "", r->asks_unanswered);
	metric_counter(out, "config_asks_answered_total",
	    "peers' requests for the configuration", "", r->answers_given);
	metric_counter(out, "config_from_peers_total",
	    "configurations that came from a peer", "", r->configs_received);
	metric_counter(out, "config_relay_bytes_total",
	    "bodies of the messages above", "dir=\"out\"", r->bytes_sent);
	metric_counter(out, "config_relay_bytes_total", NULL, "dir=\"in\"",
	    r->bytes_received);
	metric_counter(out, "config_trust_changes_total",
	    "changes between confirmed and unconfirmed", "", r->changes);
	metric_gauge(out, "config_confirmed_ms_ago",
	    "age of the configuration's confirmation; -1: none", "",
	    age_us >= 0 ? age_us / US_PER_MS : -1);
}

struct config_relay *
config_relay_new(struct scheduler *s)
{
	struct config_relay *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->scheduler = s;
	r->current = true;
	config_trust_init(&r->trust, sched_boottime_us());
	return r;
}

void
config_relay_free(struct config_relay *r)
{
	if (r == NULL)
		return;
	lws_sul_cancel(&r->timer);
	if (r->call != NULL)
		http_call_cancel(r->call);
	free(r);
}
