#include "duty.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "cordon_call.h"
#include "machine_read.h"
#include "machine_wire.h"
#include "owners.h"
#include "peer_client.h"
#include "shards.h"
#include "store_writer.h"
#include "topic_claim.h"
#include "wire.h"

#define TOPIC_DUTIES "keyed.duties"
#define TICK_MS 200 /* between two looks at all pools */
#define GIVE_UP_MS 3000 /* without the group's word */
#define QUIET_SPARE_MS 1300 /* beyond the lease between two holders: clocks */
#define CALL_TIMEOUT_MS 1000
#define REPORT_TIMEOUT_MS 400
#define ANSWER_MAX (2 * 1024 * 1024) /* bytes of a page of machines */

/* A call under way: to the platform, or to a pool's owner. */
struct duty_call {
	struct duty *duty;
	struct http_call *call;
	char subject[NAME_BYTES]; /* machine, or pool */
	LIST_ENTRY(duty_call) entries;
};

struct duty {
	struct scheduler *scheduler;
	bool mine;
	int64_t confirmed_boot_us;
	struct topic_claim *claim;
	int64_t fence;
	struct roster *roster; /* NULL until the term is claimed */
	struct roster_effects effects;
	struct store_writer *notes; /* what a successor must know */
	uint64_t serial; /* newest note */
	STAILQ_HEAD(noted_orders, noted_order) noted;
	struct store_writer *status; /* what operators read */
	uint64_t status_serial; /* newest of it */
	struct machine_read *reading; /* the list of machines */
	LIST_HEAD(duty_calls, duty_call) calls;
	lws_sorted_usec_list_t tick;
	struct wave_order *kept; /* operators' waves */
	size_t kept_count;
	struct kept_note *known; /* a predecessor's notes */
	size_t known_count;
};

/*
 * "since/N" → Unix time at which the wave was asked for; "wave/N" → completed;
 * "wave/N/MACHINE" → its upkeep has begun; "order/MACHINE" → Unix time of the
 * newest order about it.
 */
struct kept_note {
	char key[STORE_KEY_MAX + 1];
	int64_t value;
};

#define KEY_ORDER_PREFIX "order/"
#define KEY_SINCE_PREFIX "since/"

/* An order that waits until a successor would know of it. */
struct noted_order {
	struct roster_effect effect;
	uint64_t serial;
	STAILQ_ENTRY(noted_order) entries;
};

static void duty_drop(struct duty *d, const char *why);
static void duty_event(struct duty *d, struct roster_event *ev);

static struct duty_call *
call_new(struct duty *d, const char *subject)
{
	struct duty_call *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->duty = d;
	snprintf(c->subject, sizeof(c->subject), "%s", subject);
	LIST_INSERT_HEAD(&d->calls, c, entries);
	return c;
}

static void
call_free(struct duty_call *c)
{
	LIST_REMOVE(c, entries);
	free(c);
}

static void
call_start(struct duty_call *c, struct http_call_opts *o)
{
	struct scheduler *s = c->duty->scheduler;

	o->context = s->context;
	o->pool = s->http_connections;
	o->repeatable = true;
	o->max_bytes = ANSWER_MAX;
	o->arg = c;
	c->call = http_call_start(o, NULL);
	if (c->call == NULL)
		abort(); /* memory has run out: the reducer waits for it */
}

static void
on_list(void *arg, const struct machine_list *list)
{
	struct roster_event ev = {.kind = ROSTER_MACHINES};
	struct duty *d = arg;

	d->reading = NULL;
	if (list != NULL) {
		ev.u.machines.list = list->list;
		ev.u.machines.count = list->count;
	}
	duty_event(d, &ev);
}

static void
read_list(struct duty *d)
{
	struct roster_event ev = {.kind = ROSTER_MACHINES};

	machine_read_cancel(d->reading); /* the reducer has given it up */
	d->reading = machine_read_start(d->scheduler, on_list, d);
	if (d->reading == NULL)
		duty_event(d, &ev);
}

static void
order_ended(void *arg, enum http_end end, struct answer *a)
{
	struct roster_event ev = {.kind = ROSTER_CALL_END};
	struct duty_call *c = arg;
	struct duty *d = c->duty;
	const struct buf *body = end == HTTP_WHOLE ? a->body : NULL;

	snprintf(ev.u.call.machine, NAME_BYTES, "%s", c->subject);
	ev.u.call.end = end == HTTP_UNSENT ? ROSTER_BUSY : ROSTER_UNKNOWN;
	if (end == HTTP_WHOLE)
		ev.u.call.end = machine_call_end(a->status,
		    body != NULL ? body->data : NULL,
		    body != NULL ? body->len : 0);
	call_free(c);
	if (ev.u.call.end != ROSTER_DONE)
		daemon_log(LOG_LEVEL_INFO, "duty",
		    "msg=\"order for a machine not done\" machine=%s end=%d "
		    "status=%d fence=%lld",
		    ev.u.call.machine, ev.u.call.end,
		    end == HTTP_WHOLE ? a->status : 0, (long long)d->fence);
	if (ev.u.call.end == ROSTER_FENCED)
		duty_drop(d, "fenced");
	else
		duty_event(d, &ev);
}

static void
send_order(struct duty *d, const struct roster_effect *x)
{
	const struct boot *b = &d->scheduler->boot;
	struct headers headers = {.count = 0};
	struct http_call_opts o = {
	    .addr = b->machines.addr,
	    .port = b->machines.port,
	    .method = "POST",
	    .headers = &headers,
	    .never_late = true, /* a successor may have ordered by then */
	    .timeout_ms = CALL_TIMEOUT_MS,
	    .on_end = order_ended,
	};
	struct duty_call *c = call_new(d, x->machine);
	char fence[24];

	snprintf(fence, sizeof(fence), "%" PRId64, d->fence);
	headers_add(&headers, "content-type", "application/json");
	headers_add(&headers, MACHINE_HEADER_HOLDER, b->name);
	headers_add(&headers, MACHINE_HEADER_FENCE, fence);
	if (x->kind == ROSTER_MOVE) {
		o.path = MACHINE_PATH_MOVE;
		o.body = machine_move_body(x->machine, x->pool);
	} else {
		o.path = MACHINE_PATH_UPKEEP;
		o.body = machine_upkeep_body(x->machine, x->wave);
	}
	if (c == NULL || o.body == NULL)
		abort(); /* memory has run out: the reducer waits for it */
	call_start(c, &o);
	headers_uninit(&headers);
	buf_unref(o.body);
}

static void
put_note(struct duty *d, const char *key, const char *text)
{
	struct buf *value = buf_from(text, strlen(text));

	if (value == NULL)
		abort(); /* memory has run out: the reducer waits for it */
	store_writer_put(d->notes, key, value, ++d->serial);
	buf_unref(value);
}

static void
write_note(struct duty *d, int64_t wave, const char *machine)
{
	char key[STORE_KEY_MAX];

	if (machine != NULL)
		snprintf(
		    key, sizeof(key), "wave/%" PRId64 "/%s", wave, machine);
	else
		snprintf(key, sizeof(key), "wave/%" PRId64, wave);
	put_note(d, key, "1");
}

/* The present Unix time under a key. */
static void
note_time(struct duty *d, const char *key)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, sched_unix_ms());
	put_note(d, key, text);
}

static void
note_since(struct duty *d, int64_t wave)
{
	char key[STORE_KEY_MAX];

	snprintf(key, sizeof(key), KEY_SINCE_PREFIX "%" PRId64, wave);
	note_time(d, key);
}

/* Noted first, then ordered. */
static void
note_order(struct duty *d, const struct roster_effect *x)
{
	struct noted_order *o;
	char key[STORE_KEY_MAX];

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		abort(); /* memory has run out: the reducer waits for it */
	snprintf(key, sizeof(key), KEY_ORDER_PREFIX "%s", x->machine);
	note_time(d, key);
	o->effect = *x;
	o->serial = d->serial;
	STAILQ_INSERT_TAIL(&d->noted, o, entries);
}

static void
write_status(struct duty *d, const struct roster_effect *x)
{
	struct buf *value = wave_status_body(x->completed);
	char key[STORE_KEY_MAX];

	if (x->completed)
		write_note(d, x->wave, NULL);
	wave_status_key(key, sizeof(key), x->wave);
	if (value != NULL)
		store_writer_put(d->status, key, value, ++d->status_serial);
	buf_unref(value);
	daemon_log(LOG_LEVEL_INFO, "duty", "msg=\"wave is %s\" wave=%lld",
	    x->completed ? "completed" : "running", (long long)x->wave);
}

static void
run_effect(struct duty *d, const struct roster_effect *x)
{
	switch (x->kind) {
	case ROSTER_LIST:
		read_list(d);
		break;
	case ROSTER_MOVE:
	case ROSTER_UPKEEP:
		note_order(d, x);
		break;
	case ROSTER_STATUS:
		write_status(d, x);
		break;
	case ROSTER_NOTE:
		write_note(d, x->wave, x->machine);
		break;
	case ROSTER_SINCE:
		note_since(d, x->wave);
		break;
	case ROSTER_LOG:
		daemon_log(x->level, "roster", "%s", x->line);
		break;
	}
}

static bool
duty_outlived(const struct duty *d)
{
	return sched_boottime_us() - d->confirmed_boot_us >
	    GIVE_UP_MS * US_PER_MS;
}

static void
duty_event(struct duty *d, struct roster_event *ev)
{
	struct roster_effects fx;
	size_t i;

	if (d->roster == NULL || duty_outlived(d))
		return;
	ev->now_us = sched_monotonic_us();
	fx = d->effects;
	memset(&d->effects, 0, sizeof(d->effects));
	roster_step(d->roster, ev, &fx);
	for (i = 0; i < fx.count; i++)
		run_effect(d, &fx.list[i]);
	fx.count = 0;
	roster_effects_uninit(&d->effects);
	d->effects = fx;
}

static void
take_report(struct duty *d, const struct pool_report *r)
{
	struct roster_event ev = {.kind = ROSTER_REPORT};

	ev.u.report = r;
	duty_event(d, &ev);
}

static void
report_ended(void *arg, enum http_end end, struct answer *a)
{
	struct duty_call *c = arg;
	struct duty *d = c->duty;
	struct pool_report r;
	struct err e;

	call_free(c);
	if (end != HTTP_WHOLE || a->status != 200 || a->body == NULL) {
		owners_refresh(d->scheduler->owners);
		return;
	}
	if (pool_report_decode(&r, a->body->data, a->body->len, &e) == -1) {
		daemon_log(LOG_LEVEL_WARN, "duty", "msg=\"%s\" remedy=\"%s\"",
		    e.message, e.remedy);
		return;
	}
	take_report(d, &r);
	pool_report_uninit(&r);
}

static void
add_cordon(void *arg, const char *worker, enum cordon_kind kind)
{
	struct cordon_request *r = arg;

	if (r->count == CORDONS_MAX) {
		daemon_log(LOG_LEVEL_WARN, "duty",
		    "msg=\"too many cordons: the rest waits\" pool=%s "
		    "worker=%s",
		    r->pool, worker);
		return;
	}
	snprintf(r->list[r->count].worker, NAME_BYTES, "%s", worker);
	r->list[r->count++].kind = kind;
}

static void
ask_peer(
    struct duty *d, const struct endpoint *to, const struct cordon_request *r)
{
	struct http_call_opts o = {
	    .addr = to->addr,
	    .port = to->port,
	    .method = "POST",
	    .path = PEER_PATH_CORDONS,
	    .body = cordon_request_encode(r),
	    .timeout_ms = REPORT_TIMEOUT_MS,
	    .on_end = report_ended,
	};
	struct duty_call *c = call_new(d, r->pool);

	if (c != NULL && o.body != NULL)
		call_start(c, &o);
	else if (c != NULL)
		call_free(c);
	buf_unref(o.body);
}

static void
ask_pool(struct duty *d, const char *pool)
{
	struct scheduler *s = d->scheduler;
	struct cordon_request r;
	struct pool_report report;
	struct endpoint to;
	int within_ms;
	bool self;

	memset(&r, 0, sizeof(r));
	snprintf(r.pool, sizeof(r.pool), "%s", pool);
	r.coming = roster_coming(d->roster, pool, &within_ms);
	r.within_ms = (uint64_t)within_ms;
	roster_cordons(d->roster, pool, add_cordon, &r);
	if (shards_cordon(s->shards, &r, &report) == 0) {
		take_report(d, &report);
		pool_report_uninit(&report);
	} else if (owners_of(s->owners, pool, &to, &self) && !self) {
		ask_peer(d, &to, &r);
	}
}

static void
on_tick(lws_sorted_usec_list_t *sul)
{
	struct roster_event ev = {.kind = ROSTER_TICK};
	struct duty *d = lws_container_of(sul, struct duty, tick);
	const struct config *c = d->scheduler->config;
	size_t i;

	lws_sul_schedule(
	    d->scheduler->context, 0, sul, on_tick, TICK_MS * US_PER_MS);
	for (i = 0; i < c->pool_count; i++) {
		if (!c->pools[i].spare)
			ask_pool(d, c->pools[i].name);
	}
	duty_event(d, &ev);
}

static void
feed_pools(struct duty *d)
{
	const struct config *c = d->scheduler->config;
	struct roster_event ev = {.kind = ROSTER_POOL};
	size_t i;

	for (i = 0; i < c->pool_count; i++) {
		snprintf(ev.u.pool.name, NAME_BYTES, "%s", c->pools[i].name);
		ev.u.pool.spare = c->pools[i].spare;
		duty_event(d, &ev);
	}
}

static void
feed_wave(struct duty *d, const struct wave_order *w)
{
	struct roster_event ev = {.kind = ROSTER_WAVE};

	ev.u.wave.wave = w->wave;
	ev.u.wave.machines = (const char(*)[NAME_BYTES])w->machines;
	ev.u.wave.count = w->machine_count;
	ev.u.wave.within_ms = w->within_ms;
	ev.u.wave.cap = w->cap;
	duty_event(d, &ev);
}

/* "wave/N" or "wave/N/MACHINE" */
static void
feed_known(struct duty *d, const char *key)
{
	struct roster_event ev = {.kind = ROSTER_WAVE_KNOWN};
	const char *slash;

	ev.u.known.wave = strtoll(key + strlen(KEY_WAVE_PREFIX), NULL, 10);
	slash = strchr(key + strlen(KEY_WAVE_PREFIX), '/');
	ev.u.known.completed = slash == NULL;
	ev.u.known.machine = slash != NULL ? slash + 1 : NULL;
	duty_event(d, &ev);
}

static void
feed_note(struct duty *d, const struct kept_note *n)
{
	struct roster_event ev = {.kind = ROSTER_ORDERED};
	size_t order_len = strlen(KEY_ORDER_PREFIX);
	size_t since_len = strlen(KEY_SINCE_PREFIX);

	if (strncmp(n->key, KEY_SINCE_PREFIX, since_len) == 0) {
		ev.kind = ROSTER_WAVE_SINCE;
		ev.u.since.wave = strtoll(n->key + since_len, NULL, 10);
		ev.u.since.ago_ms = sched_unix_ms() - n->value;
		duty_event(d, &ev);
	} else if (strncmp(n->key, KEY_WAVE_PREFIX, strlen(KEY_WAVE_PREFIX)) ==
	    0) {
		feed_known(d, n->key);
	} else if (strncmp(n->key, KEY_ORDER_PREFIX, order_len) == 0) {
		snprintf(
		    ev.u.ordered.machine, NAME_BYTES, "%s", n->key + order_len);
		ev.u.ordered.ago_ms = sched_unix_ms() - n->value;
		duty_event(d, &ev);
	}
}

static void
on_noted(void *arg, uint64_t serial)
{
	struct duty *d = arg;
	struct noted_order *o;

	while ((o = STAILQ_FIRST(&d->noted)) != NULL && o->serial <= serial) {
		STAILQ_REMOVE_HEAD(&d->noted, entries);
		if (!duty_outlived(d))
			send_order(d, &o->effect);
		free(o);
	}
}

static void
on_told(void *arg, uint64_t serial)
{
	(void)arg; /* nothing waits for what operators read */
	(void)serial;
}

static void
on_fenced(void *arg, const char *why)
{
	struct duty *d = arg;

	(void)why; /* the writer has logged it */
	/* dropped by the next check, outside the writer's callback */
	d->confirmed_boot_us = 0;
}

static struct store_writer *
writer_new(struct duty *d, const char *topic, int64_t seq, bool epoch_known,
    void (*on_written)(void *arg, uint64_t serial))
{
	struct store_writer_opts o = {
	    .scheduler = d->scheduler,
	    .epoch = d->fence,
	    .first_seq = seq,
	    .epoch_established = epoch_known,
	    .on_stored = on_written,
	    .on_fenced = on_fenced,
	    .arg = d,
	};

	snprintf(o.topic, sizeof(o.topic), "%s", topic);
	return store_writer_new(&o);
}

static void
on_claimed(void *arg, int64_t epoch, int64_t next_seq)
{
	struct duty *d = arg;
	const struct boot *b = &d->scheduler->boot;
	struct roster_opts o = {
	    .now_us = sched_monotonic_us(),
	    .quiet_ms = b->holder_lease_ms + QUIET_SPARE_MS,
	    .upkeep_ms = b->upkeep_ms,
	    .move_ms = b->move_ms,
	};
	size_t i;

	topic_claim_free(d->claim);
	d->claim = NULL;
	d->fence = epoch;
	d->roster = roster_new(&o);
	d->notes = writer_new(d, TOPIC_DUTIES, next_seq, true, on_noted);
	d->status = writer_new(d, TOPIC_STATUS, 0, false, on_told);
	if (d->roster == NULL || d->notes == NULL || d->status == NULL)
		abort(); /* the term is taken: nobody else would serve it */
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"duty of machines taken over\" fence=%lld notes=%zu",
	    (long long)epoch, d->known_count);
	feed_pools(d);
	for (i = 0; i < d->known_count; i++)
		feed_note(d, &d->known[i]);
	for (i = 0; i < d->kept_count; i++)
		feed_wave(d, &d->kept[i]);
	lws_sul_schedule(d->scheduler->context, 0, &d->tick, on_tick, 1);
}

static void
on_record(void *arg, const struct store_record *r)
{
	struct duty *d = arg;
	struct kept_note *list;
	char text[24];

	if (r->value == NULL)
		return;
	list = realloc(d->known, (d->known_count + 1) * sizeof(*list));
	if (list == NULL)
		abort(); /* a wave would be called open that is not */
	d->known = list;
	list += d->known_count++;
	snprintf(list->key, sizeof(list->key), "%s", r->key);
	snprintf(
	    text, sizeof(text), "%.*s", (int)r->len, (const char *)r->value);
	list->value = strtoll(text, NULL, 10);
}

static void
duty_begin(struct duty *d)
{
	struct topic_claim_opts o = {
	    .scheduler = d->scheduler,
	    .topic = TOPIC_DUTIES,
	    .on_record = on_record,
	    .on_claimed = on_claimed,
	    .arg = d,
	};

	d->claim = topic_claim_new(&o);
	d->mine = d->claim != NULL;
}

static void
duty_drop(struct duty *d, const char *why)
{
	struct noted_order *o;
	struct duty_call *c;

	if (!d->mine)
		return;
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"duty of machines given up\" fence=%lld why=%s",
	    (long long)d->fence, why);
	d->mine = false;
	lws_sul_cancel(&d->tick);
	topic_claim_free(d->claim);
	d->claim = NULL;
	while ((c = LIST_FIRST(&d->calls)) != NULL) {
		http_call_cancel(c->call);
		call_free(c);
	}
	while ((o = STAILQ_FIRST(&d->noted)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->noted, entries);
		free(o);
	}
	store_writer_free(d->notes);
	store_writer_free(d->status);
	d->notes = d->status = NULL;
	roster_free(d->roster);
	d->roster = NULL;
	machine_read_cancel(d->reading);
	d->reading = NULL;
	free(d->known);
	d->known = NULL;
	d->known_count = 0;
}

void
duty_assign(struct duty *d, bool mine, int64_t asked_boot_us)
{
	if (d->scheduler->boot.machines.addr[0] == '\0')
		return; /* the deployment has no such service */
	if (!mine) {
		duty_drop(d, "dealt-elsewhere");
		return;
	}
	if (d->mine && d->confirmed_boot_us == 0)
		duty_drop(d, "fenced");
	d->confirmed_boot_us = asked_boot_us;
	if (!d->mine)
		duty_begin(d);
}

void
duty_check(struct duty *d)
{
	if (d->mine && duty_outlived(d))
		duty_drop(d, "not-confirmed");
}

void
duty_config_changed(struct duty *d)
{
	if (d->roster != NULL)
		feed_pools(d);
}

void
duty_take_wave(struct duty *d, const struct store_record *r)
{
	struct wave_order order;
	struct wave_order *list;
	size_t i;

	if (wave_parse(&order, r->value, r->len) == -1) {
		daemon_log(LOG_LEVEL_WARN, "duty",
		    "msg=\"wave cannot be read: passed over\" key=%.40s "
		    "offset=%lld",
		    r->key, (long long)r->offset);
		return;
	}
	for (i = 0; i < d->kept_count; i++) {
		if (d->kept[i].wave == order.wave) {
			wave_uninit(&order);
			return;
		}
	}
	list = realloc(d->kept, (d->kept_count + 1) * sizeof(*list));
	if (list == NULL)
		abort(); /* an operator's order must not be dropped */
	d->kept = list;
	list[d->kept_count++] = order;
	feed_wave(d, &order);
}

struct duty *
duty_new(struct scheduler *s)
{
	struct duty *d;

	d = calloc(1, sizeof(*d));
	if (d == NULL)
		return NULL;
	d->scheduler = s;
	LIST_INIT(&d->calls);
	STAILQ_INIT(&d->noted);
	return d;
}

void
duty_free(struct duty *d)
{
	size_t i;

	if (d == NULL)
		return;
	duty_drop(d, "end");
	for (i = 0; i < d->kept_count; i++)
		wave_uninit(&d->kept[i]);
	free(d->kept);
	roster_effects_uninit(&d->effects);
	free(d);
}
