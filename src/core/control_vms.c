#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"
#include "step.h"

#define VMS_PROPOSE_US (500 * US_PER_MS) /* between two looks */
#define VMS_MISSED_LISTS 3 /* whole lists without a VM, in a row */
#define VMS_NOTE_US (1 * US_PER_S)
#define VMS_GONE_US (3 * US_PER_S) /* a daemon's VM shows as gone so long */
#define VMS_MISSED_FORGET 100 /* lists without it, and not on record */
#define VMS_MISSED_US (3 * US_PER_S) /* and for at least so long */
/* A list that is older than this after a drain or move is believed. */
#define VMS_LAG_US (30 * US_PER_S)

static struct seen_vm *
seen_find(const struct control *c, const char *name)
{
	struct seen_vm *s;

	HASH_FIND_STR(c->seen, name, s);
	return s;
}

static struct seen_vm *
seen_get(struct control *c, const char *name)
{
	struct seen_vm *s = seen_find(c, name);

	if (s != NULL)
		return s;
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		err(1, "control");
	memcpy(s->entry.vm, name, strlen(name) + 1);
	HASH_ADD_STR(c->seen, entry.vm, s);
	return s;
}

void
control_vms_free(struct control *c)
{
	struct seen_vm *s, *tmp;

	HASH_ITER(hh, c->seen, s, tmp)
	{
		HASH_DEL(c->seen, s);
		free(s);
	}
}

static const struct vm *
seen_record(const struct seen_vm *s, const struct view *v)
{
	const struct vm *r = fold_vm(v->fold, s->entry.vm);

	if (r == NULL || r->incarnation != s->entry.incarnation)
		return NULL;
	return r;
}

/*
 * A lagging list may still show the drain of a move that has ended since, so
 * "leaving" counts only where the list has shown the VM live after it.
 */
bool
seen_vm_leaving(const struct seen_vm *s, const struct view *v)
{
	const struct vm *r = seen_record(s, v);

	if (s->entry.state == VM_LIST_LIVE)
		return false;
	if (s->entry.state == VM_LIST_GONE || r == NULL || r->ended == 0)
		return true;
	return s->live_epoch == r->epoch ||
	    v->now_us - s->since_us > VMS_LAG_US;
}

/* Incarnation on record of the daemon with a VM's name, 0 for none. */
static uint64_t
daemon_on_record(const struct view *v, const char *vm)
{
	const struct fold_daemon *d = fold_daemon(v->fold, daemon_id(vm));

	return d != NULL ? d->incarnation : 0;
}

static void
seen_leaves(struct control *c, const struct view *v,
    const struct vm_list_entry *e, uint64_t until_epoch)
{
	struct leaving_vm news = {
	    .incarnation = e->incarnation, .until_epoch = until_epoch};

	memcpy(news.vm, e->vm, sizeof(news.vm));
	control_leaving_add(c, v, &news);
}

static void
seen_update(
    struct control *c, const struct view *v, const struct vm_list_entry *e)
{
	struct seen_vm *s = seen_get(c, e->vm);
	const struct vm *r;

	if (s->since_us == 0 || s->entry.state != e->state ||
	    s->entry.incarnation != e->incarnation)
		s->since_us = v->now_us;
	s->entry = *e;
	s->missed = 0;
	r = seen_record(s, v);
	if (r != NULL && e->state == VM_LIST_LIVE)
		s->live_epoch = r->epoch;
	if (e->role == VM_WORKER && seen_vm_leaving(s, v))
		seen_leaves(c, v, e, r != NULL ? r->epoch + 1 : 1);
}

/* A VM that only whole lists leave out may be a wrong list: wait a little. */
static void
seen_missed(struct control *c, const struct view *v)
{
	struct seen_vm *s, *tmp;

	HASH_ITER(hh, c->seen, s, tmp)
	{
		if (s->missed++ == 1)
			s->missed_us = v->now_us;
		if (s->missed <= VMS_MISSED_FORGET ||
		    fold_vm(v->fold, s->entry.vm) != NULL)
			continue;
		HASH_DEL(c->seen, s);
		free(s);
	}
}

void
control_vms_list(
    struct control *c, const struct view *v, const struct event *ev)
{
	const struct vm_list_entry *e;
	const struct vm *r;
	struct seen_vm *s;
	size_t i;

	if (ev->u.vm_list.whole) {
		/* What is on record but was never listed is missed too. */
		for (r = fold_vms(v->fold); r != NULL; r = r->hh.next) {
			if (strcmp(r->data_centre, v->data_centre) != 0 ||
			    seen_find(c, r->name) != NULL)
				continue;
			s = seen_get(c, r->name);
			s->entry.incarnation = r->incarnation;
			s->entry.state = VM_LIST_LIVE;
			s->entry.role = r->role;
		}
		seen_missed(c, v);
	}
	c->list_known = true;
	for (i = 0; i < ev->u.vm_list.count; i++) {
		e = &ev->u.vm_list.list[i];
		if (strcmp(e->data_centre, v->data_centre) == 0)
			seen_update(c, v, e);
	}
}

static bool
seen_absent(const struct seen_vm *s, const struct view *v)
{
	return s->missed >= VMS_MISSED_LISTS &&
	    v->now_us - s->missed_us >= VMS_MISSED_US;
}

static bool
seen_differs(const struct seen_vm *s, const struct vm *r)
{
	const struct vm_list_entry *e = &s->entry;

	return strcmp(e->addr, r->addr) != 0 || e->port != r->port ||
	    strcmp(e->failure_domain, r->failure_domain) != 0 ||
	    e->cores != r->cores || e->memory_mb != r->memory_mb ||
	    e->accelerators != r->accelerators;
}

/* A reboot that was asked for shows as "gone" until the VM is back. */
static bool
vm_rebooting(const struct vm *r)
{
	return r->withdrawal != 0 && r->state == VM_OUT &&
	    r->target_pool[0] == '\0';
}

static int
seen_report_gone(const struct vm *r, int report)
{
	return r->state != VM_LOST && !vm_rebooting(r) ? report : -1;
}

/* What the list shows and the fold does not; -1 where they agree. */
static int
seen_report(const struct seen_vm *s, const struct view *v)
{
	const struct vm *r = fold_vm(v->fold, s->entry.vm);
	bool live = s->entry.state == VM_LIST_LIVE;

	if (r == NULL)
		return live && s->missed == 0 ? VM_REPORT_LIVE : -1;
	if (fold_vm_forgettable(v->fold, r) && (!live || s->missed > 0))
		return VM_REPORT_FORGET;
	if (seen_absent(s, v))
		return seen_report_gone(r, VM_REPORT_ABSENT);
	if (s->missed > 0)
		return -1;
	if (r->incarnation != s->entry.incarnation)
		return live && !vm_had_incarnation(r, s->entry.incarnation)
		    ? VM_REPORT_LIVE
		    : -1;
	if (live && r->state == VM_LOST)
		return r->absent ? VM_REPORT_LIVE : -1;
	if (live)
		return r->withdrawal == 0 && seen_differs(s, r) ? VM_REPORT_LIVE
								: -1;
	if (s->entry.state == VM_LIST_GONE)
		return seen_report_gone(r, VM_REPORT_GONE);
	return r->state == VM_SERVING && seen_vm_leaving(s, v)
	    ? VM_REPORT_LEAVING
	    : -1;
}

static void
seen_write(struct wire_writer *w, const struct seen_vm *s, int report,
    const struct view *v)
{
	const struct vm_list_entry *e = &s->entry;
	const struct vm *r = fold_vm(v->fold, e->vm);
	bool brief = report != VM_REPORT_LIVE;

	wire_map(w, brief ? 4 : 13);
	wire_str(w, "vm", e->vm);
	wire_u64(w, "inc",
	    report == VM_REPORT_ABSENT && r != NULL ? r->incarnation
						    : e->incarnation);
	wire_u64(w, "ep", r != NULL ? r->epoch : 0);
	wire_u64(w, "st", (uint64_t)report);
	if (brief)
		return;
	wire_u64(w, "role", e->role);
	wire_str(w, "dc", e->data_centre);
	wire_str(w, "fd", e->failure_domain);
	wire_str(w, "pool", e->pool);
	wire_str(w, "addr", e->addr);
	wire_i64(w, "port", e->port);
	wire_i64(w, "c", e->cores);
	wire_i64(w, "m", e->memory_mb);
	wire_i64(w, "a", e->accelerators);
}

static uint32_t
seen_reports(const struct control *c, const struct view *v)
{
	const struct seen_vm *s;
	uint32_t n = 0;

	for (s = c->seen; s != NULL && n < CONTROL_BATCH; s = s->hh.next)
		n += s->entry.role == VM_WORKER && seen_report(s, v) != -1;
	return n;
}

/*
 * A daemon on record whose VM the list shows as gone, and whom we don't hear
 * either.  Nobody waits for its acknowledgements any more.
 */
static bool
seen_daemon_gone(const struct seen_vm *s, const struct view *v)
{
	const struct peer *p;
	uint64_t id;

	if (s->entry.role != VM_ENTRY || s->daemon == 0 ||
	    daemon_on_record(v, s->entry.vm) != s->daemon)
		return false;
	if (s->entry.state != VM_LIST_GONE && !seen_absent(s, v))
		return false;
	id = daemon_id(s->entry.vm);
	p = peers_get(v->peers, id);
	return id != v->self && v->now_us - s->since_us >= VMS_GONE_US &&
	    (p == NULL || !p->linked || p->state != PEER_ALIVE);
}

static void
seen_propose_daemons(struct control *c, const struct view *v)
{
	const struct seen_vm *s;
	struct wire_writer w;
	uint32_t n = 0;

	for (s = c->seen; s != NULL && n < CONTROL_BATCH; s = s->hh.next)
		n += seen_daemon_gone(s, v);
	if (n == 0)
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", n);
	for (s = c->seen; s != NULL && n > 0; s = s->hh.next) {
		if (!seen_daemon_gone(s, v))
			continue;
		wire_map(&w, 3);
		wire_u64(&w, "p", daemon_id(s->entry.vm));
		wire_u64(&w, "inc", s->daemon);
		wire_u64(&w, "st", VM_REPORT_GONE);
		n--;
	}
	control_propose(c, v, RECORD_VM, wire_writer_take(&w));
}

/* Remembers which daemon was on record while the list shows its VM live. */
static void
seen_note_daemons(struct control *c, const struct view *v)
{
	struct seen_vm *s;

	if (v->now_us < c->noted_us)
		return;
	c->noted_us = v->now_us + VMS_NOTE_US;
	for (s = c->seen; s != NULL; s = s->hh.next)
		if (s->entry.role == VM_ENTRY && s->missed == 0 &&
		    s->entry.state == VM_LIST_LIVE)
			s->daemon = daemon_on_record(v, s->entry.vm);
}

/* The daemon with the duty puts on record what the list shows. */
void
control_vms_tick(struct control *c, const struct view *v, struct effects *fx)
{
	const struct seen_vm *s;
	struct wire_writer w;
	uint32_t n;
	int report;

	(void)fx;
	seen_note_daemons(c, v);
	if (!c->ready || !c->list_known || c->log_down || v->stopping ||
	    v->now_us < c->propose_us || !control_settled(v) ||
	    !peers_is_responsible(v->peers, v, "vms"))
		return;
	n = seen_reports(c, v);
	if (n == 0) {
		c->propose_us = v->now_us + VMS_PROPOSE_US;
		seen_propose_daemons(c, v);
		return;
	}
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "vms", n);
	for (s = c->seen; s != NULL && n > 0; s = s->hh.next) {
		report = s->entry.role == VM_WORKER ? seen_report(s, v) : -1;
		if (report == -1)
			continue;
		seen_write(&w, s, report, v);
		n--;
	}
	control_propose(c, v, RECORD_VM, wire_writer_take(&w));
}
