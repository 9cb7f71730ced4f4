#include "controller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "cap_exchange.h"
#include "machine_list_reader.h"
#include "machine_wire.h"
#include "membership.h"
#include "owner_exchange.h"
#include "store_writer.h"
#include "topic_claim.h"
#include "wire.h"

#define TOPIC_JOURNAL "keyed.duties"
#define TICK_MS 200 /* interval at which all pools are updated */
/* The controller stops when the group has not confirmed it for this long. */
#define CONFIRMATION_TIMEOUT_MS 3000
/*
 * Added to the controller's lease, as clocks differ: the sum is the hold-off
 * between commands of two controllers for one machine.
 */
#define HANDOVER_MARGIN_MS 1300
#define PLATFORM_TIMEOUT_MS 1000
/* Size limit of answers to commands. */
#define CALL_ANSWER_MAX_BYTES (2 * 1024 * 1024)

/* A call in flight: a command to the platform. */
struct controller_call {
	struct controller *controller;
	struct http_call *call;
	char subject[NAME_BYTES]; /* name of the machine */
	LIST_ENTRY(controller_call) entries;
};

struct controller {
	struct scheduler *scheduler;
	bool assigned; /* to this daemon; its term may yet have to be claimed */
	/*
	 * When the newest join that confirmed the assignment was sent; 0 once
	 * the controller is fenced.
	 */
	int64_t confirmed_boot_us;
	struct topic_claim *claim; /* NULL once the term is claimed */
	int64_t fence; /* epoch of the term */
	/* NULL until the term is claimed, and without a machine service. */
	struct roster *roster;
	struct owner_exchange *owners; /* NULL until the term is claimed */
	struct roster_effects
	    effects; /* memory for the effects of the next step */
	struct store_writer *journal; /* read by the next controller */
	uint64_t journal_serial; /* of the newest entry */
	STAILQ_HEAD(pending_commands, pending_command) pending;
	struct store_writer *status_writer; /* status of waves, for operators */
	uint64_t status_serial; /* of the newest status record */
	struct machine_list_reader *list_reader; /* in flight, or NULL */
	LIST_HEAD(controller_calls, controller_call) calls;
	lws_sorted_usec_list_t tick_sul;
	struct wave_request *waves; /* requested by operators */
	size_t wave_count;
	/* Journal of earlier terms, read while the term is claimed. */
	struct journal_entry *journal_entries;
	size_t journal_entry_count;
};

/*
 * An entry of the journal, a record whose value is a decimal number:
 *   "since/N"         Unix time in ms at which wave N was first seen
 *   "wave/N"          wave N is completed
 *   "wave/N/MACHINE"  the machine's maintenance in wave N has started
 *   "order/MACHINE"   Unix time in ms of the newest command for the machine
 */
struct journal_entry {
	char key[STORE_KEY_MAX_BYTES + 1];
	int64_t value;
};

#define KEY_COMMAND_PREFIX "order/"
#define KEY_WAVE_REQUESTED_PREFIX "since/"

/* A command that is sent as soon as its journal entry is stored. */
struct pending_command {
	struct roster_effect effect;
	uint64_t serial; /* of the journal entry */
	int64_t recorded_us; /* when the entry was written */
	STAILQ_ENTRY(pending_command) entries;
};

static void controller_stop(struct controller *ctl, const char *why);
static void controller_handle_event(
    struct controller *ctl, struct roster_event *ev);

static struct controller_call *
call_new(struct controller *ctl, const char *subject)
{
	struct controller_call *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->controller = ctl;
	snprintf(c->subject, sizeof(c->subject), "%s", subject);
	LIST_INSERT_HEAD(&ctl->calls, c, entries);
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
	o->pool = s->http_connections;
	o->idempotent = true;
	o->answer_body_max_bytes = CALL_ANSWER_MAX_BYTES;
	o->arg = c;
	c->call = http_call_start(o, NULL);
	if (c->call == NULL)
		abort(); /* out of memory; the reducer waits for the result */
}

static void
on_machine_list(void *arg, const struct machine_list *list)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_MACHINE_LIST};
	struct controller *ctl = arg;

	ctl->list_reader = NULL;
	if (list != NULL) {
		ev.u.machine_list.list = list->machines;
		ev.u.machine_list.count = list->count;
		ev.u.machine_list.malformed_count = list->malformed_count;
	}
	controller_handle_event(ctl, &ev);
}

static void
read_machine_list(struct controller *ctl)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_MACHINE_LIST};

	/* the reducer asks again only after the last read has timed out */
	machine_list_reader_cancel(ctl->list_reader);
	ctl->list_reader =
	    machine_list_reader_start(ctl->scheduler, on_machine_list, ctl);
	if (ctl->list_reader == NULL)
		controller_handle_event(ctl, &ev);
}

static void
on_command_end(void *arg, enum http_outcome end, struct answer *a)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_COMMAND_RESULT};
	struct controller_call *c = arg;
	struct controller *ctl = c->controller;
	const struct buf *body = end == HTTP_ANSWERED ? a->body : NULL;

	snprintf(ev.u.command_result.machine, NAME_BYTES, "%s", c->subject);
	ev.u.command_result.result =
	    end == HTTP_UNSENT ? ROSTER_COMMAND_BUSY : ROSTER_COMMAND_UNKNOWN;
	if (end == HTTP_ANSWERED)
		ev.u.command_result.result = machine_command_result(a->status,
		    body != NULL ? body->data : NULL,
		    body != NULL ? body->len : 0);
	/* the machine may be busy with the first copy of the command */
	if (end == HTTP_ANSWERED && a->resent &&
	    ev.u.command_result.result == ROSTER_COMMAND_BUSY)
		ev.u.command_result.result = ROSTER_COMMAND_UNKNOWN;
	call_free(c);
	if (ev.u.command_result.result != ROSTER_COMMAND_DONE)
		daemon_log(LOG_LEVEL_INFO, "duty",
		    "msg=\"command for a machine failed or was not confirmed\" "
		    "machine=%s end=%d status=%d fence=%lld",
		    ev.u.command_result.machine, ev.u.command_result.result,
		    end == HTTP_ANSWERED ? a->status : 0,
		    (long long)ctl->fence);
	if (ev.u.command_result.result == ROSTER_COMMAND_FENCED)
		controller_stop(ctl, "fenced");
	else
		controller_handle_event(ctl, &ev);
}

static void
send_command(struct controller *ctl, const struct roster_effect *x)
{
	const struct platform_settings *settings = &ctl->scheduler->settings;
	struct headers headers = {.count = 0};
	struct http_call_opts o = {
	    .addr = settings->machines_endpoint.addr,
	    .port = settings->machines_endpoint.port,
	    .method = "POST",
	    .headers = &headers,
	    .reset_on_abort = true, /* a later controller may act by then */
	    .timeout_ms = PLATFORM_TIMEOUT_MS,
	    .on_done = on_command_end,
	};
	struct controller_call *c = call_new(ctl, x->machine);
	char fence[24];

	snprintf(fence, sizeof(fence), "%" PRId64, ctl->fence);
	headers_add(&headers, "content-type", "application/json");
	headers_add(&headers, MACHINE_HEADER_HOLDER, settings->name);
	headers_add(&headers, MACHINE_HEADER_FENCE, fence);
	if (x->kind == ROSTER_EFFECT_MOVE) {
		o.path = MACHINE_PATH_MOVE;
		o.body = machine_move_body(x->machine, x->to_pool);
	} else {
		o.path = MACHINE_PATH_MAINTENANCE;
		o.body = machine_maintenance_body(x->machine, x->wave_number);
	}
	if (c == NULL || o.body == NULL)
		abort(); /* out of memory; the reducer waits for the result */
	call_start(c, &o);
	headers_uninit(&headers);
	buf_unref(o.body);
}

static void
journal_put(struct controller *ctl, const char *key, const char *text)
{
	struct buf *value = buf_from(text, strlen(text));

	if (value == NULL)
		abort(); /* out of memory; the reducer waits for the result */
	store_writer_put(ctl->journal, key, value, ++ctl->journal_serial);
	buf_unref(value);
}

/*
 * Records that the machine's maintenance in the wave has started, or with
 * "machine" NULL that the wave is completed.
 */
static void
journal_wave(struct controller *ctl, int64_t wave, const char *machine)
{
	char key[STORE_KEY_MAX_BYTES];

	if (machine != NULL)
		snprintf(
		    key, sizeof(key), "wave/%" PRId64 "/%s", wave, machine);
	else
		snprintf(key, sizeof(key), "wave/%" PRId64, wave);
	journal_put(ctl, key, "1");
}

/* Records the present Unix time, in ms, under a key. */
static void
journal_time(struct controller *ctl, const char *key)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, sched_unix_ms());
	journal_put(ctl, key, text);
}

static void
journal_wave_requested(struct controller *ctl, int64_t wave)
{
	char key[STORE_KEY_MAX_BYTES];

	snprintf(key, sizeof(key), KEY_WAVE_REQUESTED_PREFIX "%" PRId64, wave);
	journal_time(ctl, key);
}

/*
 * Writes the command's journal entry, and queues the command until the entry
 * is stored: the next controller must see every command that may be executed.
 */
static void
journal_command(struct controller *ctl, const struct roster_effect *x)
{
	struct pending_command *p;
	char key[STORE_KEY_MAX_BYTES];

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort(); /* out of memory; the reducer waits for the result */
	snprintf(key, sizeof(key), KEY_COMMAND_PREFIX "%s", x->machine);
	journal_time(ctl, key);
	p->effect = *x;
	p->serial = ctl->journal_serial;
	p->recorded_us = sched_boottime_us();
	STAILQ_INSERT_TAIL(&ctl->pending, p, entries);
}

static void
write_wave_status(struct controller *ctl, const struct roster_effect *x)
{
	struct buf *value = wave_status_body(x->completed);
	char key[STORE_KEY_MAX_BYTES];

	if (x->completed)
		journal_wave(ctl, x->wave_number, NULL);
	wave_status_key(key, sizeof(key), x->wave_number);
	if (value != NULL)
		store_writer_put(
		    ctl->status_writer, key, value, ++ctl->status_serial);
	buf_unref(value);
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"maintenance wave is %s\" wave=%lld",
	    x->completed ? "completed" : "running", (long long)x->wave_number);
}

static void
apply_effect(struct controller *ctl, const struct roster_effect *x)
{
	switch (x->kind) {
	case ROSTER_EFFECT_LIST_MACHINES:
		read_machine_list(ctl);
		break;
	case ROSTER_EFFECT_MOVE:
	case ROSTER_EFFECT_MAINTENANCE:
		journal_command(ctl, x);
		break;
	case ROSTER_EFFECT_WAVE_STATUS:
		write_wave_status(ctl, x);
		break;
	case ROSTER_EFFECT_RECORD_MAINTENANCE:
		journal_wave(ctl, x->wave_number, x->machine);
		break;
	case ROSTER_EFFECT_RECORD_WAVE_REQUEST:
		journal_wave_requested(ctl, x->wave_number);
		break;
	case ROSTER_EFFECT_LOG:
		daemon_log(x->level, "roster", "%s", x->line);
		break;
	}
}

static bool
controller_expired(const struct controller *ctl)
{
	return sched_boottime_us() - ctl->confirmed_boot_us >
	    CONFIRMATION_TIMEOUT_MS * US_PER_MS;
}

static void
controller_handle_event(struct controller *ctl, struct roster_event *ev)
{
	struct roster_effects fx;
	size_t i;

	if (ctl->roster == NULL || controller_expired(ctl))
		return;
	ev->now_us = sched_boottime_us();
	fx = ctl->effects;
	memset(&ctl->effects, 0, sizeof(ctl->effects));
	roster_step(ctl->roster, ev, &fx);
	for (i = 0; i < fx.count; i++)
		apply_effect(ctl, &fx.list[i]);
	fx.count = 0;
	roster_effects_uninit(&ctl->effects);
	ctl->effects = fx;
}

static void
handle_report(void *arg, const struct pool_report *r)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_REPORT};
	struct controller *ctl = arg;

	ev.u.report = r;
	controller_handle_event(ctl, &ev);
}

static void
on_controller_tick(lws_sorted_usec_list_t *sul)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_TICK};
	struct controller *ctl =
	    lws_container_of(sul, struct controller, tick_sul);

	lws_sul_schedule(ctl->scheduler->context, 0, sul, on_controller_tick,
	    TICK_MS * US_PER_MS);
	owner_exchange_tick(ctl->owners);
	controller_handle_event(ctl, &ev);
}

static void
apply_pools(struct controller *ctl)
{
	const struct config *c = ctl->scheduler->config;
	struct roster_event ev = {.kind = ROSTER_EVENT_POOL_CONFIG};
	size_t i;

	for (i = 0; i < c->pool_count; i++) {
		snprintf(
		    ev.u.pool_config.name, NAME_BYTES, "%s", c->pools[i].name);
		ev.u.pool_config.spare = c->pools[i].spare;
		controller_handle_event(ctl, &ev);
	}
}

static void
apply_wave(struct controller *ctl, const struct wave_request *w)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_REQUEST};

	ev.u.wave_request.wave_number = w->wave_number;
	ev.u.wave_request.machine_names =
	    (const char(*)[NAME_BYTES])w->machine_names;
	ev.u.wave_request.count = w->machine_count;
	ev.u.wave_request.within_ms = w->within_ms;
	ev.u.wave_request.max_down = w->max_down;
	controller_handle_event(ctl, &ev);
}

/* Applies an entry whose key is "wave/N" or "wave/N/MACHINE". */
static void
apply_wave_entry(struct controller *ctl, const char *key)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_WAVE_PROGRESS};
	const char *slash;

	ev.u.wave_progress.wave_number =
	    strtoll(key + strlen(KEY_WAVE_PREFIX), NULL, 10);
	slash = strchr(key + strlen(KEY_WAVE_PREFIX), '/');
	ev.u.wave_progress.completed = slash == NULL;
	ev.u.wave_progress.machine = slash != NULL ? slash + 1 : NULL;
	controller_handle_event(ctl, &ev);
}

static void
apply_journal_entry(struct controller *ctl, const struct journal_entry *e)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_PAST_COMMAND};
	size_t command_len = strlen(KEY_COMMAND_PREFIX);
	size_t requested_len = strlen(KEY_WAVE_REQUESTED_PREFIX);

	if (strncmp(e->key, KEY_WAVE_REQUESTED_PREFIX, requested_len) == 0) {
		ev.kind = ROSTER_EVENT_WAVE_REQUEST_TIME;
		ev.u.wave_request_time.wave_number =
		    strtoll(e->key + requested_len, NULL, 10);
		ev.u.wave_request_time.ago_ms = sched_unix_ms() - e->value;
		controller_handle_event(ctl, &ev);
	} else if (strncmp(e->key, KEY_WAVE_PREFIX, strlen(KEY_WAVE_PREFIX)) ==
	    0) {
		apply_wave_entry(ctl, e->key);
	} else if (strncmp(e->key, KEY_COMMAND_PREFIX, command_len) == 0) {
		snprintf(ev.u.past_command.machine, NAME_BYTES, "%s",
		    e->key + command_len);
		ev.u.past_command.ago_ms = sched_unix_ms() - e->value;
		controller_handle_event(ctl, &ev);
	}
}

/* The entry may have been stored late: the worker may be in use by then. */
static void
send_recorded_command(struct controller *ctl, const struct pending_command *p)
{
	struct roster_event ev = {.kind = ROSTER_EVENT_COMMAND_RESULT};
	int64_t now_us = sched_boottime_us();

	if (roster_command_holds(ctl->roster, p->effect.machine, now_us)) {
		send_command(ctl, &p->effect);
		return;
	}
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"command for a machine is not sent: its worker may be in "
	    "use\" machine=%s recorded_ms_ago=%lld fence=%lld",
	    p->effect.machine,
	    (long long)((now_us - p->recorded_us) / US_PER_MS),
	    (long long)ctl->fence);
	snprintf(
	    ev.u.command_result.machine, NAME_BYTES, "%s", p->effect.machine);
	ev.u.command_result.result = ROSTER_COMMAND_BUSY;
	controller_handle_event(ctl, &ev);
}

static void
on_journal_written(void *arg, uint64_t serial)
{
	struct controller *ctl = arg;
	struct pending_command *p;

	while (
	    (p = STAILQ_FIRST(&ctl->pending)) != NULL && p->serial <= serial) {
		STAILQ_REMOVE_HEAD(&ctl->pending, entries);
		if (!controller_expired(ctl))
			send_recorded_command(ctl, p);
		free(p);
	}
}

static void
on_status_written(void *arg, uint64_t serial)
{
	(void)arg; /* nothing waits for status records */
	(void)serial;
}

static void
on_fenced(void *arg, const char *why)
{
	struct controller *ctl = arg;

	(void)why; /* the writer has logged it */
	/* the next check stops the controller, outside of this callback */
	ctl->confirmed_boot_us = 0;
}

static bool
has_machine_service(const struct controller *ctl)
{
	return ctl->scheduler->settings.machines_endpoint.addr[0] != '\0';
}

static bool
term_confirmed(void *arg)
{
	return !controller_expired(arg);
}

static struct owner_exchange *
exchange_new(struct controller *ctl)
{
	struct owner_exchange_opts o = {
	    .scheduler = ctl->scheduler,
	    .roster = ctl->roster,
	    .fence = ctl->fence,
	    .confirmed = term_confirmed,
	    .on_report = handle_report,
	    .arg = ctl,
	};

	return owner_exchange_new(&o);
}

static struct store_writer *
writer_new(struct controller *ctl, const char *topic, int64_t seq,
    bool epoch_established, void (*on_written)(void *arg, uint64_t serial))
{
	struct store_writer_opts o = {
	    .scheduler = ctl->scheduler,
	    .epoch = ctl->fence,
	    .first_seq = seq,
	    .epoch_established = epoch_established,
	    .on_stored = on_written,
	    .on_fenced = on_fenced,
	    .arg = ctl,
	};

	snprintf(o.topic, sizeof(o.topic), "%s", topic);
	return store_writer_new(&o);
}

static void
on_claimed(void *arg, int64_t epoch, int64_t next_seq)
{
	struct controller *ctl = arg;
	const struct platform_settings *settings = &ctl->scheduler->settings;
	struct roster_opts o = {
	    .now_us = sched_boottime_us(),
	    .command_holdoff_ms =
		settings->controller_lease_ms + HANDOVER_MARGIN_MS,
	    .maintenance_ms = settings->maintenance_ms,
	    .move_ms = settings->move_ms,
	};
	size_t i;

	topic_claim_free(ctl->claim);
	ctl->claim = NULL;
	ctl->fence = epoch;
	if (has_machine_service(ctl)) {
		ctl->roster = roster_new(&o);
		if (ctl->roster == NULL)
			abort(); /* as below */
	}
	ctl->owners = exchange_new(ctl);
	ctl->journal =
	    writer_new(ctl, TOPIC_JOURNAL, next_seq, true, on_journal_written);
	ctl->status_writer =
	    writer_new(ctl, TOPIC_STATUS, 0, false, on_status_written);
	if (ctl->owners == NULL || ctl->journal == NULL ||
	    ctl->status_writer == NULL)
		abort(); /* no other daemon acts while this one has the term */
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"this daemon is the controller of machines\" fence=%lld "
	    "notes=%zu machines=%d",
	    (long long)epoch, ctl->journal_entry_count, ctl->roster != NULL);
	apply_pools(ctl);
	for (i = 0; i < ctl->journal_entry_count; i++)
		apply_journal_entry(ctl, &ctl->journal_entries[i]);
	for (i = 0; i < ctl->wave_count; i++)
		apply_wave(ctl, &ctl->waves[i]);
	lws_sul_schedule(
	    ctl->scheduler->context, 0, &ctl->tick_sul, on_controller_tick, 1);
}

static void
on_record(void *arg, const struct store_record *r)
{
	struct controller *ctl = arg;
	struct journal_entry *list;
	char text[24];

	if (r->value == NULL)
		return;
	list = realloc(ctl->journal_entries,
	    (ctl->journal_entry_count + 1) * sizeof(*list));
	if (list == NULL)
		abort(); /* a completed wave would be carried out again */
	ctl->journal_entries = list;
	list += ctl->journal_entry_count++;
	snprintf(list->key, sizeof(list->key), "%s", r->key);
	snprintf(text, sizeof(text), "%.*s", (int)r->value_len,
	    (const char *)r->value);
	list->value = strtoll(text, NULL, 10);
}

static void
controller_start(struct controller *ctl)
{
	struct topic_claim_opts o = {
	    .scheduler = ctl->scheduler,
	    .topic = TOPIC_JOURNAL,
	    .on_record = on_record,
	    .on_claimed = on_claimed,
	    .arg = ctl,
	};

	ctl->claim = topic_claim_new(&o);
	ctl->assigned = ctl->claim != NULL;
}

static void
controller_stop(struct controller *ctl, const char *why)
{
	struct pending_command *p;
	struct controller_call *c;

	if (!ctl->assigned)
		return;
	daemon_log(LOG_LEVEL_INFO, "duty",
	    "msg=\"this daemon is no longer the controller of machines\" "
	    "fence=%lld why=%s",
	    (long long)ctl->fence, why);
	ctl->assigned = false;
	lws_sul_cancel(&ctl->tick_sul);
	topic_claim_free(ctl->claim);
	ctl->claim = NULL;
	while ((c = LIST_FIRST(&ctl->calls)) != NULL) {
		http_call_cancel(c->call);
		call_free(c);
	}
	while ((p = STAILQ_FIRST(&ctl->pending)) != NULL) {
		STAILQ_REMOVE_HEAD(&ctl->pending, entries);
		free(p);
	}
	owner_exchange_free(ctl->owners);
	ctl->owners = NULL;
	store_writer_free(ctl->journal);
	store_writer_free(ctl->status_writer);
	ctl->journal = ctl->status_writer = NULL;
	roster_free(ctl->roster);
	ctl->roster = NULL;
	machine_list_reader_cancel(ctl->list_reader);
	ctl->list_reader = NULL;
	free(ctl->journal_entries);
	ctl->journal_entries = NULL;
	ctl->journal_entry_count = 0;
}

void
controller_assign(
    struct controller *ctl, bool assigned, int64_t join_sent_boot_us)
{
	/* without a machine service, it only allocates accounts' caps */
	bool needed =
	    has_machine_service(ctl) || config_has_caps(ctl->scheduler->config);

	if (!assigned || !needed) {
		controller_stop(ctl, needed ? "dealt-elsewhere" : "no-caps");
		return;
	}
	if (ctl->assigned && ctl->confirmed_boot_us == 0)
		controller_stop(ctl, "fenced");
	ctl->confirmed_boot_us = join_sent_boot_us;
	if (!ctl->assigned)
		controller_start(ctl);
}

void
controller_check(struct controller *ctl)
{
	if (ctl->assigned && controller_expired(ctl))
		controller_stop(ctl, "not-confirmed");
}

void
controller_config_changed(struct controller *ctl)
{
	if (ctl->roster != NULL)
		apply_pools(ctl);
	if (ctl->owners != NULL)
		owner_exchange_config_changed(ctl->owners);
}

void
controller_add_wave(struct controller *ctl, const struct store_record *r)
{
	struct wave_request wave;
	struct wave_request *list;
	size_t i;

	if (wave_request_parse(&wave, r->value, r->value_len) == -1) {
		daemon_log(LOG_LEVEL_WARN, "duty",
		    "msg=\"record of a maintenance wave is malformed; it is "
		    "ignored\" key=%.40s offset=%lld",
		    r->key, (long long)r->offset);
		return;
	}
	for (i = 0; i < ctl->wave_count; i++) {
		if (ctl->waves[i].wave_number == wave.wave_number) {
			wave_request_uninit(&wave);
			return;
		}
	}
	list = realloc(ctl->waves, (ctl->wave_count + 1) * sizeof(*list));
	if (list == NULL)
		abort(); /* an operator's request must not be lost */
	ctl->waves = list;
	list[ctl->wave_count++] = wave;
	apply_wave(ctl, &wave);
}

struct controller *
controller_new(struct scheduler *s)
{
	struct controller *ctl;

	ctl = calloc(1, sizeof(*ctl));
	if (ctl == NULL)
		return NULL;
	ctl->scheduler = s;
	LIST_INIT(&ctl->calls);
	STAILQ_INIT(&ctl->pending);
	return ctl;
}

void
controller_free(struct controller *ctl)
{
	size_t i;

	if (ctl == NULL)
		return;
	controller_stop(ctl, "end");
	for (i = 0; i < ctl->wave_count; i++)
		wave_request_uninit(&ctl->waves[i]);
	free(ctl->waves);
	roster_effects_uninit(&ctl->effects);
	free(ctl);
}

void
controller_metrics(const struct controller *ctl, struct buf *out)
{
	owner_exchange_metrics(ctl->owners, out);
}
