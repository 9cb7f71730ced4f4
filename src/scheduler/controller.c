#include "controller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "cordon_wire.h"
#include "machine_list_reader.h"
#include "machine_wire.h"
#include "membership.h"
#include "peer_client.h"
#include "shards.h"
#include "store_writer.h"
#include "topic_claim.h"
#include "wire.h"

#define TOPIC_JOURNAL "keyed.duties"
#define TICK_MS 200 /* between two looks at all pools */
#define CONFIRMATION_TIMEOUT_MS 3000 /* without the group's word */
#define HANDOVER_MARGIN_MS \
	1300 /* beyond the lease between two holders: clocks */
#define PLATFORM_TIMEOUT_MS 1000
#define REPORT_TIMEOUT_MS 400
#define PLATFORM_ANSWER_MAX_BYTES \
	(2 * 1024 * 1024) /* bytes of a page of machines */

/* A call under way: to the platform, or to a pool's owner. */
struct controller_call {
	struct controller *controller;
	struct http_call *call;
	char subject[NAME_BYTES]; /* machine, or pool */
	LIST_ENTRY(controller_call) entries;
};

struct controller {
	struct scheduler *scheduler;
	bool assigned;
	int64_t confirmed_boot_us;
	struct topic_claim *claim;
	int64_t fence;
	struct roster *roster; /* NULL until the term is claimed */
	struct roster_effects effects;
	struct store_writer *journal; /* what a successor must know */
	uint64_t journal_serial; /* newest note */
	STAILQ_HEAD(pending_commands, pending_command) pending;
	struct store_writer *status_writer; /* what operators read */
	uint64_t status_serial; /* newest of it */
	struct machine_list_reader *list_reader; /* the list of machines */
	LIST_HEAD(controller_calls, controller_call) calls;
	lws_sorted_usec_list_t tick_sul;
	struct wave_order *waves; /* operators' waves */
	size_t wave_count;
	struct journal_entry *entries; /* a predecessor's notes */
	size_t entry_count;
};

/*
 * "since/N" → Unix time at which the wave was asked for; "wave/N" → completed;
 * "wave/N/MACHINE" → its upkeep has begun; "order/MACHINE" → Unix time of the
 * newest order about it.
 */
struct journal_entry {
	char key[STORE_KEY_MAX + 1];
	int64_t value;
};

#define KEY_COMMAND_PREFIX "order/"
#define KEY_WAVE_REQUESTED_PREFIX "since/"

/* An order that waits until a successor would know of it. */
struct pending_command {
	struct roster_effect effect;
	uint64_t serial;
	STAILQ_ENTRY(pending_command) entries;
};

static void controller_stop(struct controller *d, const char *why);
static void controller_handle_event(
    struct controller *d, struct roster_event *ev);

static struct controller_call *
call_new(struct controller *d, const char *subject)
{
	struct controller_call *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->controller = d;
	snprintf(c->subject, sizeof(c->subject), "%s", subject);
	LIST_INSERT_HEAD(&d->calls, c, entries);
	return c;
}

static void
call_free(struct controller_call *c)
{
	LIST_REMOVE(c, entries);
	free(c);
}

static void
call_start(struct controller_call *c, struct http_call_opts *o)
{
	struct scheduler *s = c->controller->scheduler;

	o->context = s->context;
	o->pool = s->conns;
	o->repeatable = true;
	o->max_bytes = PLATFORM_ANSWER_MAX_BYTES;
	o->arg = c;
	c->call = http_call_start(o, NULL);
	if (c->call == NULL)
		abort(); /* memory has run out: the reducer waits for it */
}

static void
on_machine_list(void *arg, const struct machine_list *list)
{
	struct roster_event ev = {.kind = ROSTER_MACHINES};
	struct controller *d = arg;

	d->list_reader = NULL;
	if (list != NULL) {
		ev.u.machines.list = list->list;
		ev.u.machines.count = list->count;
	}
	controller_handle_event(d, &ev);
}

static void
read_machine_list(struct controller *d)
{
	struct roster_event ev = {.kind = ROSTER_MACHINES};

	machine_list_reader_cancel(
	    d->list_reader); /* the reducer has given it up */
	d->list_reader =
	    machine_list_reader_start(d->scheduler, on_machine_list, d);
	if (d->list_reader == NULL)
		controller_handle_event(d, &ev);
}

static void
on_command_end(void *arg, enum http_end end, struct answer *a)
{
	struct roster_event ev = {.kind = ROSTER_CALL_END};
	struct controller_call *c = arg;
	struct controller *d = c->controller;
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
		controller_stop(d, "fenced");
	else
		controller_handle_event(d, &ev);
}

static void
send_command(struct controller *d, const struct roster_effect *x)
{
	const struct boot *b = &d->scheduler->boot;
	struct headers headers = {.count = 0};
	struct http_call_opts o = {
	    .addr = b->machines.addr,
	    .port = b->machines.port,
	    .method = "POST",
	    .headers = &headers,
	    .never_late = true, /* a successor may have ordered by then */
	    .timeout_ms = PLATFORM_TIMEOUT_MS,
	    .on_end = on_command_end,
	};
	struct controller_call *c = call_new(d, x->machine);
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
journal_put(struct controller *d, const char *key, const char *text)
{
	struct buf *value = buf_from(text, strlen(text));

	if (value == NULL)
		abort(); /* memory has run out: the reducer waits for it */
	store_writer_put(d->journal, key, value, ++d->journal_serial);
	buf_unref(value);
}

static void
journal_wave(struct controller *d, int64_t wave, const char *machine)
{
	char key[STORE_KEY_MAX];

	if (machine != NULL)
		snprintf(
		    key, sizeof(key), "wave/%" PRId64 "/%s", wave, machine);
	else
		snprintf(key, sizeof(key), "wave/%" PRId64, wave);
	journal_put(d, key, "1");
}

/* The present Unix time under a key. */
static void
journal_time(struct controller *d, const char *key)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, sched_now_ms());
	journal_put(d, key, text);
}

static void
journal_wave_requested(struct controller *d, int64_t wave)
{
	char key[STORE_KEY_MAX];

	snprintf(key, sizeof(key), KEY_WAVE_REQUESTED_PREFIX "%" PRId64, wave);
	journal_time(d, key);
}

/* Noted first, then ordered. */
static void
journal_command(struct controller *d, const struct roster_effect *x)
{
	struct pending_command *o;
	char key[STORE_KEY_MAX];

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		abort(); /* memory has run out: the reducer waits for it */
	snprintf(key, sizeof(key), KEY_COMMAND_PREFIX "%s", x->machine);
	journal_time(d, key);
	o->effect = *x;
	o->serial = d->journal_serial;
	STAILQ_INSERT_TAIL(&d->pending, o, entries);
}

static void
write_wave_status(struct controller *d, const struct roster_effect *x)
{
	struct buf *value = wave_status_body(x->completed);
	char key[STORE_KEY_MAX];

	if (x->completed)
		journal_wave(d, x->wave, NULL);
	wave_status_key(key, sizeof(key), x->wave);
	if (value != NULL)
		store_writer_put(
		    d->status_writer, key, value, ++d->status_serial);
	buf_unref(value);
	daemon_log(LOG_LEVEL_INFO, "duty", "msg=\"wave is %s\" wave=%lld",
	    x->completed ? "completed" : "running", (long long)x->wave);
}

static void
apply_effect(struct controller *d, const struct roster_effect *x)
{
	switch (x->kind) {
	case ROSTER_LIST:
		read_machine_list(d);
		break;
	case ROSTER_MOVE:
	case ROSTER_UPKEEP:
		journal_command(d, x);
		break;
	case ROSTER_STATUS:
		write_wave_status(d, x);
		break;
	case ROSTER_NOTE:
		journal_wave(d, x->wave, x->machine);
		break;
	case ROSTER_SINCE:
		journal_wave_requested(d, x->wave);
		break;
	case ROSTER_LOG:
		daemon_log(x->level, "roster", "%s", x->line);
		break;
	}
}

static bool
controller_expired(const struct controller *d)
{
	return sched_boot_us() - d->confirmed_boot_us >
	    CONFIRMATION_TIMEOUT_MS * US_PER_MS;
}

static void
controller_handle_event(struct controller *d, struct roster_event *ev)
{
	struct roster_effects fx;
	size_t i;

	if (d->roster == NULL || controller_expired(d))
		return;
	ev->now_us = sched_now_us();
	fx = d->effects;
	memset(&d->effects, 0, sizeof(d->effects));
	roster_step(d->roster, ev, &fx);
	for (i = 0; i < fx.count; i++)
		apply_effect(d, &fx.list[i]);
	fx.count = 0;
	roster_effects_uninit(&d->effects);
	d->effects = fx;
}

static void
handle_report(struct controller *d, const struct pool_report *r)
{
	struct roster_event ev = {.kind = ROSTER_REPORT};

	ev.u.report = r;
	controller_handle_event(d, &ev);
}

static void
on_report_end(void *arg, enum http_end end, struct answer *a)
{
	struct controller_call *c = arg;
	struct controller *d = c->controller;
	struct pool_report r;
	struct err e;

	call_free(c);
	if (end != HTTP_WHOLE || a->status != 200 || a->body == NULL) {
		membership_refresh_owners(d->scheduler->membership);
		return;
	}
	if (pool_report_decode(&r, a->body->data, a->body->len, &e) == -1) {
		daemon_log(LOG_LEVEL_WARN, "duty", "msg=\"%s\" remedy=\"%s\"",
		    e.message, e.remedy);
		return;
	}
	handle_report(d, &r);
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
send_cordons(struct controller *d, const struct endpoint *to,
    const struct cordon_request *r)
{
	struct http_call_opts o = {
	    .addr = to->addr,
	    .port = to->port,
	    .method = "POST",
	    .path = PEER_PATH_CORDONS,
	    .body = cordon_request_encode(r),
	    .timeout_ms = REPORT_TIMEOUT_MS,
	    .on_end = on_report_end,
	};
	struct controller_call *c = call_new(d, r->pool);

	if (c != NULL && o.body != NULL)
		call_start(c, &o);
	else if (c != NULL)
		call_free(c);
	buf_unref(o.body);
}

static void
update_pool(struct controller *d, const char *pool)
{
	struct scheduler *s = d->scheduler;
	struct cordon_request r;
	struct pool_report report;
	struct endpoint to;
	int within_ms;
	bool self;

	memset(&r, 0, sizeof(r));
	snprintf(r.pool, sizeof(r.pool), "%s", pool);
	r.incoming_count = roster_coming(d->roster, pool, &within_ms);
	r.incoming_within_ms = (uint64_t)within_ms;
	roster_cordons(d->roster, pool, add_cordon, &r);
	if (shards_apply_cordons(s->shards, &r, &report) == 0) {
		handle_report(d, &report);
		pool_report_uninit(&report);
	} else if (membership_owner_of(s->membership, pool, &to, &self) &&
	    !self) {
		send_cordons(d, &to, &r);
	}
}

static void
on_controller_tick(lws_sorted_usec_list_t *sul)
{
	struct roster_event ev = {.kind = ROSTER_TICK};
	struct controller *d =
	    lws_container_of(sul, struct controller, tick_sul);
	const struct config *c = d->scheduler->config;
	size_t i;

	lws_sul_schedule(d->scheduler->context, 0, sul, on_controller_tick,
	    TICK_MS * US_PER_MS);
	for (i = 0; i < c->pool_count; i++) {
		if (!c->pools[i].spare)
			update_pool(d, c->pools[i].name);
	}
	controller_handle_event(d, &ev);
}

static void
apply_pools(struct controller *d)
{
	const struct config *c = d->scheduler->config;
	struct roster_event ev = {.kind = ROSTER_POOL};
	size_t i;

	for (i = 0; i < c->pool_count; i++) {
		snprintf(ev.u.pool.name, NAME_BYTES, "%s", c->pools[i].name);
		ev.u.pool.spare = c->pools[i].spare;
		controller_handle_event(d, &ev);
	}
}

static void
apply_wave(struct controller *d, const struct wave_order *w)
{
	struct roster_event ev = {.kind = ROSTER_WAVE};

	ev.u.wave.wave = w->wave;
	ev.u.wave.machines = (const char(*)[NAME_BYTES])w->machines;
	ev.u.wave.count = w->machine_count;
	ev.u.wave.within_ms = w->within_ms;
	ev.u.wave.cap = w->cap;
	controller_handle_event(d, &ev);
}

/* "wave/N" or "wave/N/MACHINE" */
static void
apply_wave_entry(struct controller *d, const char *key)
{
	struct roster_event ev = {.kind = ROSTER_WAVE_KNOWN};
	const char *slash;

	ev.u.known.wave = strtoll(key + strlen(KEY_WAVE_PREFIX), NULL, 10);
	slash = strchr(key + strlen(KEY_WAVE_PREFIX), '/');
	ev.u.known.completed = slash == NULL;
	ev.u.known.machine = slash != NULL ? slash + 1 : NULL;
	controller_handle_event(d, &ev);
}

static void
apply_journal_entry(struct controller *d, const struct journal_entry *n)
{
	struct roster_event ev = {.kind = ROSTER_ORDERED};
	size_t order_len = strlen(KEY_COMMAND_PREFIX);
	size_t since_len = strlen(KEY_WAVE_REQUESTED_PREFIX);

	if (strncmp(n->key, KEY_WAVE_REQUESTED_PREFIX, since_len) == 0) {
		ev.kind = ROSTER_WAVE_SINCE;
		ev.u.since.wave = strtoll(n->key + since_len, NULL, 10);
		ev.u.since.ago_ms = sched_now_ms() - n->value;
		controller_handle_event(d, &ev);
	} else if (strncmp(n->key, KEY_WAVE_PREFIX, strlen(KEY_WAVE_PREFIX)) ==
	    0) {
		apply_wave_entry(d, n->key);
	} else if (strncmp(n->key, KEY_COMMAND_PREFIX, order_len) == 0) {
		snprintf(
		    ev.u.ordered.machine, NAME_BYTES, "%s", n->key + order_len);
		ev.u.ordered.ago_ms = sched_now_ms() - n->value;
		controller_handle_event(d, &ev);
	}
}

static void
on_journal_written(void *arg, uint64_t serial)
{
	struct controller *d = arg;
	struct pending_command *o;

	while ((o = STAILQ_FIRST(&d->pending)) != NULL && o->serial <= serial) {
		STAILQ_REMOVE_HEAD(&d->pending, entries);
		if (!controller_expired(d))
			send_command(d, &o->effect);
		free(o);
	}
}

static void
on_status_written(void *arg, uint64_t serial)
{
	(void)arg; /* nothing waits for what operators read */
	(void)serial;
}

static void
on_fenced(void *arg, const char *why)
{
	struct controller *d = arg;

	(void)why; /* the writer has logged it */
	/* dropped by the next check, outside the writer's callback */
	d->confirmed_boot_us = 0;
}

static struct store_writer *
writer_new(struct controller *d, const char *topic, int64_t seq,
    bool epoch_known, void (*on_written)(void *arg, uint64_t serial))
{
	struct store_writer_opts o = {
	    .scheduler = d->scheduler,
	    .epoch = d->fence,
	    .seq = seq,
	    .epoch_known = epoch_known,
	    .on_written = on_written,
	    .on_fenced = on_fenced,
	    .arg = d,
	};

	snprintf(o.topic, sizeof(o.topic), "%s", topic);
	return store_writer_new(&o);
}

static void
on_claimed(void *arg, int64_t epoch, int64_t next_seq)
{
	struct controller *d = arg;
	const struct boot *b = &d->scheduler->boot;
	struct roster_opts o = {
	    .now_us = sched_now_us(),
	    .quiet_ms = b->holder_lease_ms + HANDOVER_MARGIN_MS,
	    .upkeep_ms = b->upkeep_ms,
	    .move_ms = b->move_ms,
	};
	size_t i;

	topic_claim_free(d->claim);
	d->claim = NULL;
	d->fence = epoch;
	d->roster = roster_new(&o);
	d->journal =
	    writer_new(d, TOPIC_JOURNAL, next_seq, true, on_journal_written);
	d->status_writer =
	    writer_new(d, TOPIC_STATUS, 0, false, on_status_written);
	if (d->roster == NULL || d->journal == NULL || d->status_writer == NULL)
		abort(); /* the term is taken: nobody else would serve it */
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"duty of machines taken over\" fence=%lld notes=%zu",
	    (long long)epoch, d->entry_count);
	apply_pools(d);
	for (i = 0; i < d->entry_count; i++)
		apply_journal_entry(d, &d->entries[i]);
	for (i = 0; i < d->wave_count; i++)
		apply_wave(d, &d->waves[i]);
	lws_sul_schedule(
	    d->scheduler->context, 0, &d->tick_sul, on_controller_tick, 1);
}

static void
on_record(void *arg, const struct store_record *r)
{
	struct controller *d = arg;
	struct journal_entry *list;
	char text[24];

	if (r->value == NULL)
		return;
	list = realloc(d->entries, (d->entry_count + 1) * sizeof(*list));
	if (list == NULL)
		abort(); /* a wave would be called open that is not */
	d->entries = list;
	list += d->entry_count++;
	snprintf(list->key, sizeof(list->key), "%s", r->key);
	snprintf(
	    text, sizeof(text), "%.*s", (int)r->len, (const char *)r->value);
	list->value = strtoll(text, NULL, 10);
}

static void
controller_start(struct controller *d)
{
	struct topic_claim_opts o = {
	    .scheduler = d->scheduler,
	    .topic = TOPIC_JOURNAL,
	    .on_record = on_record,
	    .on_claimed = on_claimed,
	    .arg = d,
	};

	d->claim = topic_claim_new(&o);
	d->assigned = d->claim != NULL;
}

static void
controller_stop(struct controller *d, const char *why)
{
	struct pending_command *o;
	struct controller_call *c;

	if (!d->assigned)
		return;
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"duty of machines given up\" fence=%lld why=%s",
	    (long long)d->fence, why);
	d->assigned = false;
	lws_sul_cancel(&d->tick_sul);
	topic_claim_free(d->claim);
	d->claim = NULL;
	while ((c = LIST_FIRST(&d->calls)) != NULL) {
		http_call_cancel(c->call);
		call_free(c);
	}
	while ((o = STAILQ_FIRST(&d->pending)) != NULL) {
		STAILQ_REMOVE_HEAD(&d->pending, entries);
		free(o);
	}
	store_writer_free(d->journal);
	store_writer_free(d->status_writer);
	d->journal = d->status_writer = NULL;
	roster_free(d->roster);
	d->roster = NULL;
	machine_list_reader_cancel(d->list_reader);
	d->list_reader = NULL;
	free(d->entries);
	d->entries = NULL;
	d->entry_count = 0;
}

void
controller_assign(struct controller *d, bool mine, int64_t asked_boot_us)
{
	if (d->scheduler->boot.machines.addr[0] == '\0')
		return; /* the deployment has no such service */
	if (!mine) {
		controller_stop(d, "dealt-elsewhere");
		return;
	}
	if (d->assigned && d->confirmed_boot_us == 0)
		controller_stop(d, "fenced");
	d->confirmed_boot_us = asked_boot_us;
	if (!d->assigned)
		controller_start(d);
}

void
controller_check(struct controller *d)
{
	if (d->assigned && controller_expired(d))
		controller_stop(d, "not-confirmed");
}

void
controller_config_changed(struct controller *d)
{
	if (d->roster != NULL)
		apply_pools(d);
}

void
controller_add_wave(struct controller *d, const struct store_record *r)
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
	for (i = 0; i < d->wave_count; i++) {
		if (d->waves[i].wave == order.wave) {
			wave_uninit(&order);
			return;
		}
	}
	list = realloc(d->waves, (d->wave_count + 1) * sizeof(*list));
	if (list == NULL)
		abort(); /* an operator's order must not be dropped */
	d->waves = list;
	list[d->wave_count++] = order;
	apply_wave(d, &order);
}

struct controller *
controller_new(struct scheduler *s)
{
	struct controller *d;

	d = calloc(1, sizeof(*d));
	if (d == NULL)
		return NULL;
	d->scheduler = s;
	LIST_INIT(&d->calls);
	STAILQ_INIT(&d->pending);
	return d;
}

void
controller_free(struct controller *d)
{
	size_t i;

	if (d == NULL)
		return;
	controller_stop(d, "end");
	for (i = 0; i < d->wave_count; i++)
		wave_uninit(&d->waves[i]);
	free(d->waves);
	roster_effects_uninit(&d->effects);
	free(d);
}
