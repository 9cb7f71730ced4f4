#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

#define LEAVING_REPEAT_US (1 * US_PER_S)

static struct leaving_vm *
leaving_find(const struct control *c, const char *vm)
{
	struct leaving_vm *l;

	HASH_FIND_STR(c->leaving, vm, l);
	return l;
}

void
control_leaving_free(struct control *c)
{
	struct leaving_vm *l, *tmp;

	HASH_ITER(hh, c->leaving, l, tmp)
	{
		HASH_DEL(c->leaving, l);
		free(l);
	}
}

/*
 * Counts for any incarnation: while an entry is there, our fold is behind
 * about this VM, and so is the incarnation that it shows.
 */
bool
control_vm_leaving(
    const struct control *c, const char *vm, uint64_t incarnation)
{
	(void)incarnation;
	return leaving_find(c, vm) != NULL;
}

/* True where our own fold cannot decide about it yet. */
static bool
leaving_counts(const struct leaving_vm *l, const struct view *v)
{
	const struct vm *r = fold_vm(v->fold, l->vm);

	if (r != NULL && r->incarnation != l->incarnation)
		return r->epoch < l->until_epoch;
	if (l->until_config > fold_config_version(v->fold))
		return true;
	return r == NULL ? l->until_epoch > 0 : r->epoch < l->until_epoch;
}

void
control_leaving_add(
    struct control *c, const struct view *v, const struct leaving_vm *news)
{
	struct leaving_vm *l = leaving_find(c, news->vm);

	if (!leaving_counts(news, v))
		return;
	if (l == NULL) {
		l = calloc(1, sizeof(*l));
		if (l == NULL)
			err(1, "control");
		memcpy(l->vm, news->vm, sizeof(l->vm));
		HASH_ADD_STR(c->leaving, vm, l);
	}
	if (news->until_epoch > l->until_epoch ||
	    news->until_config > l->until_config)
		c->told_revision = 0;
	if (news->until_epoch >= l->until_epoch) {
		l->until_epoch = news->until_epoch;
		l->incarnation = news->incarnation;
	}
	if (news->until_config > l->until_config)
		l->until_config = news->until_config;
	if (news->withdrawal > l->withdrawal)
		l->withdrawal = news->withdrawal;
}

void
control_leaving_prune(struct control *c, const struct view *v)
{
	struct leaving_vm *l, *tmp;

	HASH_ITER(hh, c->leaving, l, tmp)
	{
		if (leaving_counts(l, v))
			continue;
		HASH_DEL(c->leaving, l);
		free(l);
	}
}

struct leaving_list {
	struct wire_writer w;
	uint32_t count;
	uint32_t max;
};

static void
leaving_write(struct leaving_list *list, const struct leaving_vm *l)
{
	if (list->count++ >= list->max)
		return;
	wire_map(&list->w, 5);
	wire_str(&list->w, "vm", l->vm);
	wire_u64(&list->w, "inc", l->incarnation);
	wire_u64(&list->w, "ep", l->until_epoch);
	wire_u64(&list->w, "cv", l->until_config);
	wire_u64(&list->w, "wd", l->withdrawal);
}

/* What our fold or its text says about a VM that serves no more. */
static void
leaving_write_vm(
    struct leaving_list *list, const struct view *v, const struct vm *r)
{
	struct leaving_vm l = {.incarnation = r->incarnation};

	memcpy(l.vm, r->name, sizeof(l.vm));
	if (r->state == VM_SERVING)
		l.until_config = fold_config_version(v->fold);
	else
		l.until_epoch = r->epoch;
	if (r->state == VM_LEAVING)
		l.withdrawal = r->withdrawal_id;
	leaving_write(list, &l);
}

static void
leaving_collect(
    struct leaving_list *list, const struct control *c, const struct view *v)
{
	const struct leaving_vm *l;
	const struct vm *r;

	for (l = c->leaving; l != NULL; l = l->hh.next)
		leaving_write(list, l);
	LIST_FOREACH(r, fold_unavailable_vms(v->fold), unavailable)
		if (strcmp(r->data_centre, v->data_centre) == 0)
			leaving_write_vm(list, v, r);
}

/* Tells the daemons of this data centre at once, and again on a new link. */
void
control_leaving_tell(
    struct control *c, const struct view *v, struct effects *fx)
{
	struct leaving_list counted = {.max = 0}, list = {.max = CONTROL_BATCH};
	const struct peer *p;
	struct buf *payload;

	if (c->told_revision == fold_revision(v->fold) + 1 &&
	    (fold_withdrawn_count(v->fold) == 0 ||
		v->now_us - c->told_us < LEAVING_REPEAT_US))
		return;
	c->told_revision = fold_revision(v->fold) + 1;
	c->told_us = v->now_us;
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
leaving_read(struct leaving_vm *l, const msgpack_object *o)
{
	memset(l, 0, sizeof(*l));
	wire_get_u64(o, "wd", &l->withdrawal);
	return wire_get_str(o, "vm", l->vm, sizeof(l->vm)) &&
	    wire_get_u64(o, "inc", &l->incarnation) &&
	    wire_get_u64(o, "ep", &l->until_epoch) &&
	    wire_get_u64(o, "cv", &l->until_config);
}

void
control_leaving_frame(
    struct control *c, const struct view *v, const struct frame *f)
{
	const msgpack_object_array *list;
	struct leaving_vm news;
	struct wire_reader rd;
	uint32_t i;

	if (wire_reader_init(&rd, f->payload->data, f->payload->len, NULL) ==
	    -1)
		return;
	if (wire_get_array(rd.root, "vms", &list))
		for (i = 0; i < list->size; i++)
			if (leaving_read(&news, &list->ptr[i]))
				control_leaving_add(c, v, &news);
	wire_reader_uninit(&rd);
}
