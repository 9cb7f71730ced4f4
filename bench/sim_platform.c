/* The driver's platform: log, VM list and pool operations. */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"
#include "sim.h"
#include "sim_int.h"
#include "view.h"
#include "wire.h"

#define READ_RECORDS_MAX 500
#define READ_WAIT_US (2 * US_PER_S) /* long poll */
#define READ_ERROR_US (200 * US_PER_MS) /* until a failed read is noticed */
#define PLATFORM_OP_US (20 * US_PER_MS)

bool
sim_platform_reached(const struct sim *s, unsigned node)
{
	return !s->down && !s->nodes[node].platform_cut;
}

void
sim_platform_down(struct sim *s, bool down)
{
	s->down = down;
}

void
sim_platform_slow(struct sim *s, int64_t extra_us)
{
	s->slow_us = extra_us;
}

void
sim_lose_answers(struct sim *s, unsigned n, int64_t late_us)
{
	s->lose_answers = n;
	s->lose_late_us = late_us;
}

/* Reads. */

static void
read_wake(struct sim *s, enum stream st)
{
	struct sim_item *it;
	unsigned i;

	for (i = 0; i < s->node_count; i++) {
		if (!s->nodes[i].read_waiting[st] || s->nodes[i].core == NULL)
			continue;
		s->nodes[i].read_waiting[st] = false;
		it = sim_push(
		    s, s->now_us + s->opts.read_us + s->slow_us, ITEM_READ, i);
		it->u.read.stream = st;
		it->u.read.from = s->nodes[i].read_from[st];
		it->u.read.waited = true;
		it->u.read.generation = s->nodes[i].read_generation[st];
	}
}

void
sim_read_effect(struct sim *s, unsigned node, const struct effect *x)
{
	struct sim_node *n = &s->nodes[node];
	enum stream st = x->u.read.stream;
	struct sim_item *it;

	n->read_generation[st]++;
	n->read_waiting[st] = false;
	it = sim_push(
	    s, s->now_us + s->opts.read_us + s->slow_us, ITEM_READ, node);
	it->u.read.stream = st;
	it->u.read.from = x->u.read.from;
	it->u.read.generation = n->read_generation[st];
}

static void
read_error(struct sim *s, unsigned node, enum stream st)
{
	struct event *ev;

	ev = sim_event_at(s, s->now_us + READ_ERROR_US, node, EVENT_LOG_ERROR);
	ev->u.log_error.stream = st;
}

static void
read_deliver(struct sim *s, unsigned node, enum stream st, uint64_t from)
{
	struct sim_stream *m = &s->streams[st];
	struct record list[READ_RECORDS_MAX];
	struct event ev = {.kind = EVENT_LOG_BATCH};
	struct err e = {0};
	const struct buf *b;
	size_t i, n = 0;
	uint64_t off;

	if (from == 0)
		from = 1;
	for (off = from; off < m->next && off - from < READ_RECORDS_MAX;
	     off++) {
		b = m->list[off];
		s->totals.read_bytes += b->len;
		if (record_decode(&list[n], b->data, b->len, &e) == -1) {
			ev.u.log_batch.bad++;
			continue;
		}
		list[n++].offset = off;
	}
	s->totals.reads++;
	ev.u.log_batch.stream = st;
	ev.u.log_batch.records = list;
	ev.u.log_batch.count = n;
	ev.u.log_batch.next = off;
	ev.u.log_batch.tail = m->next;
	ev.u.log_batch.first = m->first > 1 ? m->first : 0;
	sim_step(s, node, &ev);
	for (i = 0; i < n; i++)
		record_uninit(&list[i]);
}

/* Nothing came while the read waited: it is answered empty. */
static void
read_timeout(struct sim *s, struct sim_item *it)
{
	struct sim_node *n = &s->nodes[it->node];
	enum stream st = it->u.read.stream;

	if (!n->read_waiting[st])
		return;
	n->read_waiting[st] = false;
	if (sim_platform_reached(s, it->node))
		read_deliver(s, it->node, st, it->u.read.from);
	else
		read_error(s, it->node, st);
}

void
sim_read_item(struct sim *s, struct sim_item *it)
{
	struct sim_node *n = &s->nodes[it->node];
	enum stream st = it->u.read.stream;
	struct sim_stream *m = &s->streams[st];
	struct event ev = {.kind = EVENT_LOG_GAP};
	struct sim_item *end;

	if (it->u.read.generation != n->read_generation[st])
		return;
	if (it->u.read.timeout) {
		read_timeout(s, it);
		return;
	}
	if (!sim_platform_reached(s, it->node)) {
		read_error(s, it->node, st);
		return;
	}
	if (it->u.read.from < m->first && m->first > 1) {
		ev.u.log_gap.stream = st;
		ev.u.log_gap.first = m->first;
		ev.u.log_gap.tail = m->next;
		sim_step(s, it->node, &ev);
		return;
	}
	/* The first read after a start answers at once, also when empty. */
	if (it->u.read.from < m->next || it->u.read.waited ||
	    n->read_generation[st] == 1) {
		read_deliver(s, it->node, st, it->u.read.from);
		return;
	}
	n->read_waiting[st] = true;
	n->read_from[st] = it->u.read.from;
	end = sim_push(s, s->now_us + READ_WAIT_US, ITEM_READ, it->node);
	end->u.read = it->u.read;
	end->u.read.timeout = true;
}

/* Appends. */

void
sim_platform_init(struct sim *s, enum stream st)
{
	struct sim_stream *m = &s->streams[st];

	m->cap = 256;
	m->list = calloc(m->cap, sizeof(*m->list));
	if (m->list == NULL)
		err(1, "sim log");
	m->first = m->next = 1;
}

static uint64_t
log_write(struct sim *s, enum stream st, struct buf *record)
{
	struct sim_stream *m = &s->streams[st];

	if (m->next == m->cap) {
		m->cap = m->cap ? m->cap * 2 : 256;
		m->list = reallocarray(m->list, m->cap, sizeof(*m->list));
		if (m->list == NULL)
			err(1, "sim log");
	}
	m->list[m->next++] = buf_ref(record);
	while (
	    s->opts.retention > 0 && m->next - m->first > s->opts.retention) {
		buf_unref(m->list[m->first]);
		m->list[m->first++] = NULL;
	}
	s->totals.appends++;
	s->totals.append_bytes += record->len;
	read_wake(s, st);
	return m->next - 1;
}

uint64_t
sim_append(struct sim *s, enum stream st, struct buf *record)
{
	return log_write(s, st, record);
}

uint64_t
sim_publish(struct sim *s, const char *text, uint64_t base)
{
	struct record r = {
	    .format = RECORD_FORMAT_VERSION, .kind = RECORD_CONFIG};
	struct wire_writer w;
	struct buf *b;
	uint64_t off;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "base", base);
	wire_bin(&w, "text", text, strlen(text));
	r.body = wire_writer_finish(&w);
	r.id.process = daemon_id("operator");
	r.id.incarnation = prng_next(&s->prng);
	r.id.seq = 1;
	b = record_encode(&r);
	off = log_write(s, STREAM_CONTROL, b);
	buf_unref(b);
	buf_unref(r.body);
	return off;
}

static void
append_result(struct sim *s, const struct sim_item *it, int64_t t_us,
    enum append_outcome outcome, uint64_t offset)
{
	struct sim_node *n = &s->nodes[it->node];
	struct event *ev;

	if (n->core == NULL || n->incarnation != it->incarnation)
		return;
	ev = sim_event_at(s, t_us, it->node, EVENT_APPEND_RESULT);
	ev->u.append.token = it->u.append.token;
	ev->u.append.outcome = outcome;
	ev->u.append.offset = offset;
}

static bool
append_limited(struct sim *s)
{
	if (s->opts.appends_per_s == 0)
		return false;
	if (s->now_us / US_PER_S != s->rate_second) {
		s->rate_second = s->now_us / US_PER_S;
		s->rate_count = 0;
	}
	return ++s->rate_count > s->opts.appends_per_s;
}

void
sim_append_effect(struct sim *s, unsigned node, const struct effect *x)
{
	struct sim_item *it;

	it = sim_push(
	    s, s->now_us + s->opts.append_us + s->slow_us, ITEM_APPEND, node);
	it->u.append.stream = x->u.append.stream;
	it->u.append.token = x->u.append.token;
	it->u.append.record = buf_ref(x->u.append.record);
}

static void
append_lose(struct sim *s, struct sim_item *it)
{
	struct sim_item *late;
	int64_t at;

	s->lose_answers--;
	append_result(
	    s, it, s->now_us + s->opts.platform_timeout_us, APPEND_UNKNOWN, 0);
	if (s->lose_late_us == 0) {
		log_write(s, it->u.append.stream, it->u.append.record);
		return;
	}
	at = s->now_us + s->opts.platform_timeout_us +
	    (int64_t)prng_below(&s->prng, (uint64_t)s->lose_late_us);
	late = sim_push(s, at, ITEM_APPEND, it->node);
	late->u.append = it->u.append;
	late->u.append.record = buf_ref(it->u.append.record);
	late->u.append.lost = true;
}

void
sim_append_item(struct sim *s, struct sim_item *it)
{
	uint64_t off;

	if (it->u.append.lost) {
		log_write(s, it->u.append.stream, it->u.append.record);
		return;
	}
	if (!sim_platform_reached(s, it->node) || append_limited(s)) {
		append_result(
		    s, it, s->now_us + s->opts.append_us, APPEND_NOT_DONE, 0);
		return;
	}
	if (s->lose_answers > 0) {
		append_lose(s, it);
		return;
	}
	off = log_write(s, it->u.append.stream, it->u.append.record);
	append_result(s, it, s->now_us + s->opts.append_us + s->slow_us,
	    APPEND_DONE, off);
}

uint64_t
sim_log_next(const struct sim *s, enum stream st)
{
	return s->streams[st].next;
}

uint64_t
sim_log_first(const struct sim *s, enum stream st)
{
	return s->streams[st].first;
}

const struct buf *
sim_log_get(const struct sim *s, enum stream st, uint64_t offset)
{
	if (offset >= s->streams[st].next || offset < s->streams[st].first)
		return NULL;
	return s->streams[st].list[offset];
}

/* VM list. */

static void
vm_changed(struct sim *s, struct sim_worker *w)
{
	w->revision = ++s->vm_revision;
	w->visible_us = s->now_us + s->opts.vm_list_lag_us;
}

void
sim_poll_item(struct sim *s, struct sim_item *it)
{
	struct sim_node *n = &s->nodes[it->node];
	struct event ev = {.kind = EVENT_VM_LIST};
	struct vm_list_entry *list;
	struct sim_worker *w, *tmp;
	uint64_t seen = n->vm_revision;
	size_t count = 0;

	sim_push(
	    s, s->now_us + s->opts.poll_us + s->slow_us, ITEM_POLL, it->node);
	if (!sim_platform_reached(s, it->node))
		return;
	list = calloc(HASH_COUNT(s->workers) + 1, sizeof(*list));
	if (list == NULL)
		err(1, "sim vm list");
	if (!n->vm_polled)
		n->vm_revision = 0;
	HASH_ITER(hh, s->workers, w, tmp)
	{
		if (strcmp(w->entry.data_centre, s->dc_names[n->dc]) != 0 ||
		    w->visible_us > s->now_us)
			continue;
		if (n->vm_polled && w->revision <= n->vm_revision)
			continue;
		list[count++] = w->entry;
		if (w->revision > seen)
			seen = w->revision;
	}
	ev.u.vm_list.whole = !n->vm_polled;
	ev.u.vm_list.list = list;
	ev.u.vm_list.count = count;
	n->vm_polled = true;
	n->vm_revision = seen;
	if (count > 0 || ev.u.vm_list.whole)
		sim_step(s, it->node, &ev);
	free(list);
}

void
sim_vm_state(struct sim *s, const char *vm, enum vm_list_state st)
{
	struct sim_worker *w = sim_worker(s, vm);

	w->entry.state = st;
	vm_changed(s, w);
}

void
sim_vm_die(struct sim *s, const char *vm)
{
	struct sim_worker *w = sim_worker(s, vm);

	w->fault = SIM_FAULT_DEAD;
	sim_worker_reset(s, w);
	sim_vm_state(s, vm, VM_LIST_GONE);
}

void
sim_vm_replace(struct sim *s, const char *vm)
{
	struct sim_worker *w = sim_worker(s, vm);

	sim_worker_reset(s, w);
	w->fault = SIM_FAULT_NONE;
	w->drained = false;
	w->entry.incarnation++;
	sim_vm_state(s, vm, VM_LIST_LIVE);
}

/* Pool operations. */

void
sim_platform_effect(struct sim *s, unsigned node, const struct effect *x)
{
	struct sim_item *it;

	it = sim_push(
	    s, s->now_us + PLATFORM_OP_US + s->slow_us, ITEM_PLATFORM, node);
	it->u.platform.effect = *x;
}

static bool
op_repeated(struct sim *s, uint64_t key)
{
	size_t i;

	for (i = 0; i < s->op_count; i++) {
		if (s->op_keys[i] == key)
			return true;
	}
	if (s->op_count == s->op_cap) {
		s->op_cap = s->op_cap ? s->op_cap * 2 : 64;
		s->op_keys =
		    reallocarray(s->op_keys, s->op_cap, sizeof(*s->op_keys));
		if (s->op_keys == NULL)
			err(1, "sim operations");
	}
	s->op_keys[s->op_count++] = key;
	return false;
}

static void
reboot_ends(struct sim *s, void *arg)
{
	struct sim_worker *w = arg;

	if (w->fault == SIM_FAULT_DEAD && w->entry.state == VM_LIST_GONE)
		sim_vm_replace(s, w->entry.vm);
}

static void
op_apply(struct sim *s, struct sim_worker *w, const struct effect *x)
{
	switch (x->u.platform.op) {
	case PLATFORM_DRAIN:
		w->drained = true;
		break;
	case PLATFORM_REBOOT:
		w->reboots++;
		w->rebooted_us = s->now_us;
		sim_vm_die(s, w->entry.vm);
		sim_at(s, s->now_us + s->opts.reboot_us, reboot_ends, w);
		break;
	case PLATFORM_ASSIGN:
		memcpy(w->entry.pool, x->u.platform.pool, NAME_BYTES);
		vm_changed(s, w);
		break;
	case PLATFORM_TASK_START:
	case PLATFORM_TASK_STOP:
	case PLATFORM_TASK_CHECKPOINT:
	case PLATFORM_TASK_THROTTLE:
		break;
	}
}

static enum append_outcome
op_outcome(struct sim *s, struct sim_worker *w, const struct effect *x)
{
	switch (x->u.platform.op) {
	case PLATFORM_TASK_START:
	case PLATFORM_TASK_STOP:
	case PLATFORM_TASK_CHECKPOINT:
	case PLATFORM_TASK_THROTTLE:
		if (s->on_task != NULL)
			return s->on_task(s, x, s->on_task_arg);
		break;
	case PLATFORM_DRAIN:
	case PLATFORM_REBOOT:
	case PLATFORM_ASSIGN:
		break;
	}
	if (!op_repeated(s, x->u.platform.key))
		op_apply(s, w, x);
	return APPEND_DONE;
}

void
sim_on_task(struct sim *s,
    enum append_outcome (*fn)(struct sim *, const struct effect *, void *),
    void *arg)
{
	s->on_task = fn;
	s->on_task_arg = arg;
}

bool
sim_usage(
    struct sim *s, unsigned node, const struct usage_entry *list, size_t count)
{
	struct event ev = {.kind = EVENT_USAGE};

	if (!sim_running(s, node) || !sim_platform_reached(s, node))
		return false;
	ev.u.usage.list = list;
	ev.u.usage.count = count;
	sim_step(s, node, &ev);
	return true;
}

void
sim_platform_item(struct sim *s, struct sim_item *it)
{
	const struct effect *x = &it->u.platform.effect;
	struct sim_node *n = &s->nodes[it->node];
	struct sim_worker *w = sim_worker(s, x->u.platform.vm);
	enum append_outcome outcome = APPEND_NOT_DONE;
	struct event *ev;

	if (sim_platform_reached(s, it->node) && w != NULL &&
	    w->entry.incarnation == x->u.platform.incarnation) {
		outcome = op_outcome(s, w, x);
	}
	if (n->core == NULL || n->incarnation != it->incarnation)
		return;
	ev = sim_event_at(
	    s, s->now_us + PLATFORM_OP_US, it->node, EVENT_PLATFORM_RESULT);
	ev->u.platform.key = x->u.platform.key;
	ev->u.platform.outcome = outcome;
}

void
sim_platform_uninit(struct sim *s)
{
	struct sim_stream *m;
	uint64_t off;
	unsigned i;

	for (i = 0; i < STREAM_COUNT; i++) {
		m = &s->streams[i];
		for (off = m->first; off < m->next; off++)
			buf_unref(m->list[off]);
		free(m->list);
	}
	free(s->op_keys);
}
