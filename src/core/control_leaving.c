/*
 * Notifications of leaving VMs.  A daemon that learns from the log, the VM
 * list or a peer that a VM is leaving notifies the other daemons of the data
 * centre, so that they stop using the VM before their own fold shows it.
 */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define LEAVING_REPEAT_INTERVAL_US (1 * US_PER_S)

static struct leaving_vm *
leaving_find(const struct control *c, const char *vm)
{
	struct leaving_vm *l;

	HASH_FIND_STR(c->leaving_vms, vm, l);
	return l;
}

void
control_leaving_free(struct control *c)
{
	struct leaving_vm *l, *tmp;

	HASH_ITER(hh, c->leaving_vms, l, tmp)
	{
		HASH_DEL(c->leaving_vms, l);
		free(l);
	}
}

/*
 * Ignores the incarnation: while an entry exists, the local fold is behind on
 * this VM, and so is the incarnation that the fold shows.
 */
bool
control_vm_is_leaving(
    const struct control *c, const char *vm, uint64_t incarnation)
{
	(void)incarnation;
	return leaving_find(c, vm) != NULL;
}

/* True if the local fold is too old to decide about this VM. */
static bool
leaving_is_undecided(const struct leaving_vm *l, const struct view *v)
{
	const struct vm *r = fold_vm(v->fold, l->vm);

	if (r != NULL && r->incarnation != l->incarnation)
		return r->epoch < l->until_epoch;
	if (l->until_config_version > fold_config_version(v->fold))
		return true;
	return r == NULL ? l->until_epoch > 0 : r->epoch < l->until_epoch;
}

void
control_leaving_add(
    struct control *c, const struct view *v, const struct leaving_vm *added)
{
	struct leaving_vm *l = leaving_find(c, added->vm);

	if (!leaving_is_undecided(added, v))
		return;
	if (l == NULL) {
		l = calloc(1, sizeof(*l));
		if (l == NULL)
			err(1, "control");
		memcpy(l->vm, added->vm, sizeof(l->vm));
		HASH_ADD_STR(c->leaving_vms, vm, l);
	}
	if (added->until_epoch > l->until_epoch ||
	    added->until_config_version > l->until_config_version)
		c->notified_revision = 0;
	if (added->until_epoch >= l->until_epoch) {
		l->until_epoch = added->until_epoch;
		l->incarnation = added->incarnation;
	}
	if (added->until_config_version > l->until_config_version)
		l->until_config_version = added->until_config_version;
	if (added->withdrawal > l->withdrawal)
		l->withdrawal = added->withdrawal;
}

void
control_leaving_prune(struct control *c, const struct view *v)
{
	struct leaving_vm *l, *tmp;

	HASH_ITER(hh, c->leaving_vms, l, tmp)
	{
		if (leaving_is_undecided(l, v))
			continue;
		HASH_DEL(c->leaving_vms, l);
		free(l);
	}
}

struct leaving_writer {
	struct wire_writer w;
	uint32_t count;
	uint32_t max;
};

static void
leaving_write(struct leaving_writer *list, const struct leaving_vm *l)
{
	if (list->count++ >= list->max)
		return;
	wire_map(&list->w, 5);
	wire_str(&list->w, "vm", l->vm);
	wire_u64(&list->w, "inc", l->incarnation);
	wire_u64(&list->w, "ep", l->until_epoch);
	wire_u64(&list->w, "cv", l->until_config_version);
	wire_u64(&list->w, "wd", l->withdrawal);
}

/*
 * Writes a VM that the fold or the text in force takes out of service, with
 * the epoch or config version at which the fold says so.
 */
static void
leaving_write_vm(
    struct leaving_writer *list, const struct view *v, const struct vm *r)
{
	struct leaving_vm l = {.incarnation = r->incarnation};

	memcpy(l.vm, r->name, sizeof(l.vm));
	if (r->state == VM_SERVING)
		l.until_config_version = fold_config_version(v->fold);
	else
		l.until_epoch = r->epoch;
	if (r->state == VM_LEAVING)
		l.withdrawal = r->withdrawal_id;
	leaving_write(list, &l);
}

static void
leaving_collect(
    struct leaving_writer *list, const struct control *c, const struct view *v)
{
	const struct leaving_vm *l;
	const struct vm *r;

	for (l = c->leaving_vms; l != NULL; l = l->hh.next)
		leaving_write(list, l);
	LIST_FOREACH(r, fold_unavailable_vms(v->fold), unavailable)
		if (strcmp(r->data_centre, v->data_centre) == 0)
			leaving_write_vm(list, v, r);
}

/*
 * Sends all leaving VMs to the peers of this data centre when the fold or an
 * entry changes or a peer connects, and periodically while any VM is
 * withdrawn.
 */
void
control_leaving_notify(
    struct control *c, const struct view *v, struct effects *fx)
{
	struct leaving_writer counted = {.max = 0},
			      list = {.max = CONTROL_BATCH_MAX};
	const struct peer *p;
	struct buf *payload;

	if (c->notified_revision == fold_revision(v->fold) + 1 &&
	    (fold_withdrawn_count(v->fold) == 0 ||
		v->now_us - c->last_notify_us < LEAVING_REPEAT_INTERVAL_US))
		return;
	c->notified_revision = fold_revision(v->fold) + 1;
	c->last_notify_us = v->now_us;
	leaving_collect(&counted, c, v);
	if (counted.count == 0)
		return;
	if (counted.count < list.max)
		list.max = counted.count;
	wire_writer_init(&list.w);
	wire_map(&list.w, 1);
	wire_array(&list.w, "vms", list.max);
	leaving_collect(&list, c, v);
	payload = wire_writer_finish(&list.w);
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		if (p->linked && strcmp(p->data_centre, v->data_centre) == 0)
			effects_send(
			    fx, p->id, FRAME_LEAVING, 0, buf_ref(payload));
	buf_unref(payload);
}

static bool
leaving_decode(struct leaving_vm *l, const msgpack_object *o)
{
	memset(l, 0, sizeof(*l));
	wire_get_u64(o, "wd", &l->withdrawal);
	return wire_get_str(o, "vm", l->vm, sizeof(l->vm)) &&
	    wire_get_u64(o, "inc", &l->incarnation) &&
	    wire_get_u64(o, "ep", &l->until_epoch) &&
	    wire_get_u64(o, "cv", &l->until_config_version);
}

void
control_leaving_handle_frame(
    struct control *c, const struct view *v, const struct frame *f)
{
	const msgpack_object_array *list;
	struct leaving_vm received;
	struct wire_reader rd;
	uint32_t i;

	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (wire_get_array(rd.root, "vms", &list))
		for (i = 0; i < list->size; i++)
			if (leaving_decode(&received, &list->ptr[i]))
				control_leaving_add(c, v, &received);
	wire_reader_uninit(&rd);
}
