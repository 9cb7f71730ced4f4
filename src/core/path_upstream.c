#include "path_upstream.h"

#include <stdlib.h>
#include <string.h>

#include "control.h"

void
upstream_table_init(struct upstream_table *t)
{
	memset(t, 0, sizeof(*t));
	TAILQ_INIT(&t->retired);
}

static void
upstream_leave_pool(struct upstream *u)
{
	if (u->pool == NULL)
		return;
	TAILQ_REMOVE(&u->pool->upstreams, u, link);
	u->pool->upstream_count--;
	u->pool = NULL;
}

static void
upstream_retire(struct upstream_table *t, struct upstream *u)
{
	upstream_leave_pool(u);
	HASH_DEL(t->by_vm, u);
	u->serving = false;
	if (u->inflight_slots == 0) {
		free(u);
		return;
	}
	TAILQ_INSERT_TAIL(&t->retired, u, link);
}

void
upstream_table_uninit(struct upstream_table *t)
{
	struct upstream_pool *p, *pnext;
	struct upstream *u, *next;

	u = t->by_vm;
	HASH_CLEAR(hh, t->by_vm);
	for (; u != NULL; u = next) {
		next = u->hh.next;
		free(u);
	}
	while ((u = TAILQ_FIRST(&t->retired)) != NULL) {
		TAILQ_REMOVE(&t->retired, u, link);
		free(u);
	}
	p = t->pools;
	HASH_CLEAR(hh, t->pools);
	for (; p != NULL; p = pnext) {
		pnext = p->hh.next;
		free(p);
	}
}

struct upstream_pool *
upstream_pool_get(struct upstream_table *t, const char *name)
{
	struct upstream_pool *p;

	HASH_FIND_STR(t->pools, name, p);
	return p;
}

static struct upstream_pool *
upstream_pool_add(struct upstream_table *t, const char *name)
{
	struct upstream_pool *p = upstream_pool_get(t, name);

	if (p != NULL)
		return p;
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return NULL;
	memcpy(p->name, name, strlen(name) + 1);
	TAILQ_INIT(&p->upstreams);
	HASH_ADD_STR(t->pools, name, p);
	return p;
}

/*
 * A worker has as many slots as the service of its pool with the fewest slots
 * allows.
 */
static void
upstream_sync_pools(struct upstream_table *t, const struct text *text)
{
	const struct text_service *s;
	const struct text_pool *tp;
	struct upstream_pool *p, *tmp;
	size_t i;

	HASH_ITER(hh, t->pools, p, tmp)
	{
		p->worker_slots = 0;
		p->attempt_timeout_ms = 0;
	}
	for (i = 0; i < text->service_count; i++) {
		s = &text->services[i];
		p = upstream_pool_add(t, s->pool);
		if (p == NULL)
			continue;
		if (p->worker_slots == 0 || s->slots < p->worker_slots)
			p->worker_slots = s->slots;
		if (s->attempt_timeout_ms > p->attempt_timeout_ms)
			p->attempt_timeout_ms = s->attempt_timeout_ms;
		tp = text_pool(text, s->pool);
		p->availability_ppm = tp == NULL ? 0 : tp->availability_ppm;
	}
}

static struct upstream *
upstream_new(struct upstream_table *t, const struct vm *vm)
{
	struct upstream *u;

	u = calloc(1, sizeof(*u));
	if (u == NULL)
		return NULL;
	memcpy(u->vm, vm->name, sizeof(u->vm));
	u->incarnation = vm->incarnation;
	HASH_ADD_STR(t->by_vm, vm, u);
	return u;
}

static void
upstream_join_pool(struct upstream *u, struct upstream_pool *p)
{
	if (u->pool == p)
		return;
	upstream_leave_pool(u);
	u->pool = p;
	TAILQ_INSERT_TAIL(&p->upstreams, u, link);
	p->upstream_count++;
}

static void
upstream_sync_vm(
    struct upstream_table *t, const struct view *v, const struct vm *vm)
{
	struct upstream_pool *p = upstream_pool_get(t, vm->pool);
	struct upstream *u;

	HASH_FIND_STR(t->by_vm, vm->name, u);
	if (u != NULL && (u->incarnation != vm->incarnation || p == NULL)) {
		upstream_retire(t, u);
		u = NULL;
	}
	if (p == NULL)
		return;
	if (u == NULL)
		u = upstream_new(t, vm);
	if (u == NULL)
		return;
	memcpy(u->addr, vm->addr, sizeof(u->addr));
	u->port = vm->port;
	u->synced = true;
	u->serving = fold_vm_serves(v->fold, vm) &&
	    !control_vm_is_leaving(v->control, vm->name, vm->incarnation);
	upstream_join_pool(u, p);
}

void
upstream_sync(
    struct upstream_table *t, const struct view *v, const struct text *text)
{
	const struct vm *vm;
	struct upstream *u, *tmp;

	upstream_sync_pools(t, text);
	HASH_ITER(hh, t->by_vm, u, tmp)
	u->synced = false;
	for (vm = fold_vms(v->fold); vm != NULL; vm = vm->hh.next) {
		if (vm->role != VM_WORKER || vm->state == VM_LOST ||
		    strcmp(vm->data_centre, v->data_centre) != 0)
			continue;
		upstream_sync_vm(t, v, vm);
	}
	HASH_ITER(hh, t->by_vm, u, tmp)
	{
		if (!u->synced)
			upstream_retire(t, u);
	}
}

void
upstream_acquire(struct upstream *u, enum text_class_id class)
{
	u->inflight_slots++;
	if (class == CLASS_BATCH)
		u->batch_slots++;
}

static bool
upstream_is_retired(const struct upstream_table *t, const struct upstream *u)
{
	const struct upstream *x;

	HASH_FIND_STR(t->by_vm, u->vm, x);
	return x != u;
}

void
upstream_release(
    struct upstream_table *t, struct upstream *u, enum text_class_id class)
{
	u->inflight_slots--;
	if (class == CLASS_BATCH)
		u->batch_slots--;
	if (u->inflight_slots > 0 || !upstream_is_retired(t, u))
		return;
	TAILQ_REMOVE(&t->retired, u, link);
	free(u);
}
