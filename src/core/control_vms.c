/*
 * Tracks the platform's VM list.  The responsible daemon proposes records for
 * what the list shows and the fold does not; every daemon treats listed VMs
 * that are leaving as such at once.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"
#include "step.h"

#define VMS_PROPOSE_INTERVAL_US (500 * US_PER_MS) /* unless a list arrives */
/*
 * A VM is absent after VMS_ABSENT_LISTS consecutive full lists without it, and
 * no earlier than VMS_ABSENT_US after the second of them.
 */
#define VMS_ABSENT_LISTS 3
#define VMS_ABSENT_US (3 * US_PER_S)
#define VMS_DAEMON_NOTE_INTERVAL_US (1 * US_PER_S)
/* A daemon counts as gone after its VM is listed as gone this long. */
#define VMS_DAEMON_GONE_US (3 * US_PER_S)
/* Full lists without a VM until it is dropped, if not on record. */
#define VMS_FORGET_LISTS 100
/* A listed state that lasts longer than this is not taken for list lag. */
#define VMS_LIST_LAG_MAX_US (30 * US_PER_S)

static struct listed_vm *
listed_vm_find(const struct control *c, const char *name)
{
	struct listed_vm *lv;

	HASH_FIND_STR(c->listed_vms, name, lv);
	return lv;
}

static struct listed_vm *
listed_vm_get(struct control *c, const char *name)
{
	struct listed_vm *lv = listed_vm_find(c, name);

	if (lv != NULL)
		return lv;
	lv = calloc(1, sizeof(*lv));
	if (lv == NULL)
		err(1, "control");
	memcpy(lv->entry.vm, name, strlen(name) + 1);
	HASH_ADD_STR(c->listed_vms, entry.vm, lv);
	return lv;
}

void
control_vms_free(struct control *c)
{
	struct listed_vm *lv, *tmp;

	HASH_ITER(hh, c->listed_vms, lv, tmp)
	{
		HASH_DEL(c->listed_vms, lv);
		free(lv);
	}
}

static const struct vm *
listed_vm_record(const struct listed_vm *lv, const struct view *v)
{
	const struct vm *r = fold_vm(v->fold, lv->entry.vm);

	if (r == NULL || r->incarnation != lv->entry.incarnation)
		return NULL;
	return r;
}

/*
 * A lagging list may still show the drain of a withdrawal that has ended
 * since.  "Leaving" is therefore believed only if the list has shown the VM
 * as live after the end, or shows this state for VMS_LIST_LAG_MAX_US.
 */
bool
listed_vm_is_leaving(const struct listed_vm *lv, const struct view *v)
{
	const struct vm *r = listed_vm_record(lv, v);

	if (lv->entry.state == VM_LIST_LIVE)
		return false;
	if (lv->entry.state == VM_LIST_GONE || r == NULL ||
	    r->withdrawal_end_offset == 0)
		return true;
	return lv->last_live_epoch == r->epoch ||
	    v->now_us - lv->state_since_us > VMS_LIST_LAG_MAX_US;
}

/*
 * Incarnation on record of the daemon that has the name of this VM, 0: none.
 */
static uint64_t
registered_incarnation(const struct view *v, const char *vm)
{
	const struct fold_daemon *d = fold_daemon(v->fold, daemon_id(vm));

	return d != NULL ? d->incarnation : 0;
}

static void
listed_vm_add_leaving(struct control *c, const struct view *v,
    const struct vm_list_entry *e, uint64_t until_epoch)
{
	struct leaving_vm leaving = {
	    .incarnation = e->incarnation, .until_epoch = until_epoch};

	memcpy(leaving.vm, e->vm, sizeof(leaving.vm));
	control_leaving_add(c, v, &leaving);
}

static void
listed_vm_update(
    struct control *c, const struct view *v, const struct vm_list_entry *e)
{
	struct listed_vm *lv = listed_vm_get(c, e->vm);
	const struct vm *r;

	if (lv->state_since_us == 0 || lv->entry.state != e->state ||
	    lv->entry.incarnation != e->incarnation)
		lv->state_since_us = v->now_us;
	lv->entry = *e;
	lv->missed_lists = 0;
	r = listed_vm_record(lv, v);
	if (r != NULL && e->state == VM_LIST_LIVE)
		lv->last_live_epoch = r->epoch;
	if (e->role == VM_WORKER && listed_vm_is_leaving(lv, v))
		listed_vm_add_leaving(c, v, e, r != NULL ? r->epoch + 1 : 1);
}

/*
 * Counts, per VM, the consecutive full lists without it.  A full list may be
 * wrong, so a VM that is missing from one is not absent until more confirm
 * it.  The caller resets the count of each VM that the list has.
 */
static void
listed_vms_count_missed(struct control *c, const struct view *v)
{
	struct listed_vm *lv, *tmp;

	HASH_ITER(hh, c->listed_vms, lv, tmp)
	{
		if (lv->missed_lists++ == 1)
			lv->missing_since_us = v->now_us;
		if (lv->missed_lists <= VMS_FORGET_LISTS ||
		    fold_vm(v->fold, lv->entry.vm) != NULL)
			continue;
		HASH_DEL(c->listed_vms, lv);
		free(lv);
	}
}

void
control_vms_handle_list(
    struct control *c, const struct view *v, const struct event *ev)
{
	const struct vm_list_entry *e;
	const struct vm *r;
	struct listed_vm *lv;
	size_t i;

	if (ev->u.vm_list.whole) {
		/* VMs on record that were never listed are missing too. */
		for (r = fold_vms(v->fold); r != NULL; r = r->hh.next) {
			if (strcmp(r->data_centre, v->data_centre) != 0 ||
			    listed_vm_find(c, r->name) != NULL)
				continue;
			lv = listed_vm_get(c, r->name);
			lv->entry.incarnation = r->incarnation;
			lv->entry.state = VM_LIST_LIVE;
			lv->entry.role = r->role;
		}
		listed_vms_count_missed(c, v);
	}
	c->list_received = true;
	for (i = 0; i < ev->u.vm_list.count; i++) {
		e = &ev->u.vm_list.list[i];
		if (strcmp(e->data_centre, v->data_centre) == 0)
			listed_vm_update(c, v, e);
	}
}

static bool
listed_vm_is_absent(const struct listed_vm *lv, const struct view *v)
{
	return lv->missed_lists >= VMS_ABSENT_LISTS &&
	    v->now_us - lv->missing_since_us >= VMS_ABSENT_US;
}

static bool
listed_vm_differs(const struct listed_vm *lv, const struct vm *r)
{
	const struct vm_list_entry *e = &lv->entry;

	return strcmp(e->addr, r->addr) != 0 || e->port != r->port ||
	    strcmp(e->failure_domain, r->failure_domain) != 0 ||
	    e->cores != r->cores || e->memory_mb != r->memory_mb ||
	    e->accelerators != r->accelerators;
}

/* During a requested reboot, the list shows the VM as gone. */
static bool
vm_rebooting(const struct vm *r)
{
	return r->withdrawal_id != 0 && r->state == VM_OUT &&
	    r->target_pool[0] == '\0';
}

static int
report_unless_lost(const struct vm *r, int report)
{
	return r->state != VM_LOST && !vm_rebooting(r) ? report : -1;
}

/*
 * Report (enum vm_report) to propose for a difference between the list and
 * the fold, -1: none.
 */
static int
listed_vm_report(const struct listed_vm *lv, const struct view *v)
{
	const struct vm *r = fold_vm(v->fold, lv->entry.vm);
	bool live = lv->entry.state == VM_LIST_LIVE;

	if (r == NULL)
		return live && lv->missed_lists == 0 ? VM_REPORT_LIVE : -1;
	if (fold_vm_is_expired(v->fold, r) && (!live || lv->missed_lists > 0))
		return VM_REPORT_EXPIRED;
	if (listed_vm_is_absent(lv, v))
		return report_unless_lost(r, VM_REPORT_UNLISTED);
	if (lv->missed_lists > 0)
		return -1;
	if (r->incarnation != lv->entry.incarnation)
		return live && !vm_had_incarnation(r, lv->entry.incarnation)
		    ? VM_REPORT_LIVE
		    : -1;
	if (live && r->state == VM_LOST)
		return r->unlisted ? VM_REPORT_LIVE : -1;
	if (live)
		return r->withdrawal_id == 0 && listed_vm_differs(lv, r)
		    ? VM_REPORT_LIVE
		    : -1;
	if (lv->entry.state == VM_LIST_GONE)
		return report_unless_lost(r, VM_REPORT_GONE);
	return r->state == VM_SERVING && listed_vm_is_leaving(lv, v)
	    ? VM_REPORT_LEAVING
	    : -1;
}

static void
listed_vm_write_report(struct wire_writer *w, const struct listed_vm *lv,
    int report, const struct view *v)
{
	const struct vm_list_entry *e = &lv->entry;
	const struct vm *r = fold_vm(v->fold, e->vm);
	bool brief = report != VM_REPORT_LIVE;

	wire_map(w, brief ? 4 : 13);
	wire_str(w, "vm", e->vm);
	wire_u64(w, "inc",
	    report == VM_REPORT_UNLISTED && r != NULL ? r->incarnation
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
listed_vms_report_count(const struct control *c, const struct view *v)
{
	const struct listed_vm *lv;
	uint32_t n = 0;

	for (lv = c->listed_vms; lv != NULL && n < CONTROL_BATCH_MAX;
	     lv = lv->hh.next)
		n += lv->entry.role == VM_WORKER &&
		    listed_vm_report(lv, v) != -1;
	return n;
}

/*
 * True for an entry VM whose daemon is on record, while the VM is listed as
 * gone or absent and the daemon is not alive as a peer either.  Once it is
 * off the record, no withdrawal waits for its acknowledgement.
 */
static bool
listed_daemon_is_gone(const struct listed_vm *lv, const struct view *v)
{
	const struct peer *p;
	uint64_t id;

	if (lv->entry.role != VM_ENTRY || lv->daemon_incarnation == 0 ||
	    registered_incarnation(v, lv->entry.vm) != lv->daemon_incarnation)
		return false;
	if (lv->entry.state != VM_LIST_GONE && !listed_vm_is_absent(lv, v))
		return false;
	id = daemon_id(lv->entry.vm);
	p = peers_get(v->peers, id);
	return id != v->self &&
	    v->now_us - lv->state_since_us >= VMS_DAEMON_GONE_US &&
	    (p == NULL || !p->linked || p->state != PEER_ALIVE);
}

static void
propose_daemons_gone(struct control *c, const struct view *v)
{
	const struct listed_vm *lv;
	struct wire_writer w;
	uint32_t n = 0;

	for (lv = c->listed_vms; lv != NULL && n < CONTROL_BATCH_MAX;
	     lv = lv->hh.next)
		n += listed_daemon_is_gone(lv, v);
	if (n == 0)
		return;
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "ds", n);
	for (lv = c->listed_vms; lv != NULL && n > 0; lv = lv->hh.next) {
		if (!listed_daemon_is_gone(lv, v))
			continue;
		wire_map(&w, 3);
		wire_u64(&w, "p", daemon_id(lv->entry.vm));
		wire_u64(&w, "inc", lv->daemon_incarnation);
		wire_u64(&w, "st", VM_REPORT_GONE);
		n--;
	}
	control_propose(c, v, RECORD_VM, wire_writer_finish(&w));
}

/* Notes the daemon on record of each entry VM that is listed as live. */
static void
note_daemon_incarnations(struct control *c, const struct view *v)
{
	struct listed_vm *lv;

	if (v->now_us < c->next_daemon_note_us)
		return;
	c->next_daemon_note_us = v->now_us + VMS_DAEMON_NOTE_INTERVAL_US;
	for (lv = c->listed_vms; lv != NULL; lv = lv->hh.next)
		if (lv->entry.role == VM_ENTRY && lv->missed_lists == 0 &&
		    lv->entry.state == VM_LIST_LIVE)
			lv->daemon_incarnation =
			    registered_incarnation(v, lv->entry.vm);
}

/* Runs the proposals, if this daemon is the responsible one. */
void
control_vms_tick(struct control *c, const struct view *v, struct effects *fx)
{
	const struct listed_vm *lv;
	struct wire_writer w;
	uint32_t n;
	int report;

	(void)fx;
	note_daemon_incarnations(c, v);
	if (!c->ready || !c->list_received || c->log_down || v->stopping ||
	    v->now_us < c->next_propose_us || !control_appends_folded(v) ||
	    !peers_is_responsible(v->peers, v, "vms"))
		return;
	n = listed_vms_report_count(c, v);
	if (n == 0) {
		c->next_propose_us = v->now_us + VMS_PROPOSE_INTERVAL_US;
		propose_daemons_gone(c, v);
		return;
	}
	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_array(&w, "vms", n);
	for (lv = c->listed_vms; lv != NULL && n > 0; lv = lv->hh.next) {
		report =
		    lv->entry.role == VM_WORKER ? listed_vm_report(lv, v) : -1;
		if (report == -1)
			continue;
		listed_vm_write_report(&w, lv, report, v);
		n--;
	}
	control_propose(c, v, RECORD_VM, wire_writer_finish(&w));
}
