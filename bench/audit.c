#include "audit.h"

#include <err.h>
#include <stdlib.h>
#include <string.h>

struct audit_vm {
	char name[NAME_BYTES];
	char pool[NAME_BYTES];
	uint64_t withdrawal;
	UT_hash_handle hh;
};

void
audit_init(struct audit *a)
{
	memset(a, 0, sizeof(*a));
	a->fold = fold_new();
	a->next = 1;
}

void
audit_uninit(struct audit *a)
{
	struct audit_vm *m, *tmp;

	HASH_ITER(hh, a->vms, m, tmp)
	{
		HASH_DEL(a->vms, m);
		free(m);
	}
	fold_free(a->fold);
}

static struct audit_vm *
audit_vm(struct audit *a, const char *name)
{
	struct audit_vm *m;

	HASH_FIND_STR(a->vms, name, m);
	if (m != NULL)
		return m;
	m = calloc(1, sizeof(*m));
	if (m == NULL)
		err(1, "audit");
	memcpy(m->name, name, strlen(name) + 1);
	HASH_ADD_STR(a->vms, name, m);
	return m;
}

/* Counts by itself, not with the fold's own counters. */
static void
audit_budget(struct audit *a, const char *pool)
{
	const struct text *t = fold_text(a->fold);
	const struct text_pool *p = text_pool(t, pool);
	int64_t total = 0, serving = 0;
	const struct vm *v;

	if (p == NULL)
		return;
	for (v = fold_vms(a->fold); v != NULL; v = v->hh.next) {
		if (strcmp(v->pool, pool) != 0 || v->role != VM_WORKER)
			continue;
		total++;
		serving += fold_vm_serves(a->fold, v);
	}
	if (serving * TEXT_PPM < total * p->availability_ppm)
		a->budget_violations++;
}

static void
audit_record(struct audit *a, const struct record *r)
{
	uint64_t version = fold_config_version(a->fold);
	struct audit_vm *m;
	const struct vm *v;

	fold_apply(a->fold, r);
	if (fold_config_version(a->fold) < version)
		a->config_reverts++;
	for (v = fold_vms(a->fold); v != NULL; v = v->hh.next) {
		m = audit_vm(a, v->name);
		if (v->withdrawal_id != 0 &&
		    m->withdrawal != v->withdrawal_id) {
			a->withdrawals++;
			audit_budget(a, v->pool);
		}
		if (m->pool[0] != '\0' && strcmp(m->pool, v->pool) != 0)
			a->moves++;
		m->withdrawal = v->withdrawal_id;
		memcpy(m->pool, v->pool, sizeof(m->pool));
	}
}

/* Every daemon of the VM's data centre that would send it work. */
static void
audit_membership(struct audit *a, struct sim *s, const struct vm *v)
{
	const char *pool = NULL;
	const struct vm *seen;
	unsigned i;

	for (i = 0; i < sim_nodes(s); i++) {
		if (sim_core(s, i) == NULL || !core_healthy(sim_core(s, i)) ||
		    strcmp(sim_dc(s, i), v->data_centre) != 0)
			continue;
		seen = core_find_serving_vm(sim_core(s, i), v->name);
		if (seen == NULL)
			continue;
		if (pool != NULL && strcmp(pool, seen->pool) != 0)
			a->double_memberships++;
		pool = seen->pool;
	}
}

static void
audit_daemons(struct audit *a, struct sim *s)
{
	uint64_t version;
	const struct vm *v;
	unsigned i;

	for (i = 0; i < sim_nodes(s); i++) {
		if (sim_core(s, i) == NULL) {
			a->config[i] = 0;
			continue;
		}
		version = fold_config_version(core_fold(sim_core(s, i)));
		if (version < a->config[i])
			a->config_reverts++;
		a->config[i] = version;
	}
	for (v = fold_vms(a->fold); v != NULL; v = v->hh.next)
		audit_membership(a, s, v);
}

void
audit_step(struct audit *a, struct sim *s)
{
	const struct buf *b;
	struct record r;

	for (; a->next < sim_log_next(s, STREAM_CONTROL); a->next++) {
		b = sim_log_get(s, STREAM_CONTROL, a->next);
		if (b == NULL || record_decode(&r, b->data, b->len, NULL) == -1)
			continue;
		r.offset = a->next;
		audit_record(a, &r);
		record_uninit(&r);
	}
	audit_daemons(a, s);
}

void
audit_compare(struct audit *a, struct sim *s)
{
	const struct fold *f;
	unsigned i;

	audit_step(a, s);
	for (i = 0; i < sim_nodes(s); i++) {
		if (sim_core(s, i) == NULL)
			continue;
		f = core_fold(sim_core(s, i));
		if (fold_next(f) == fold_next(a->fold) &&
		    fold_hash(f) != fold_hash(a->fold))
			a->divergences++;
	}
}

/* The platform is told only about what everybody has acknowledged. */
void
audit_effect(struct sim *s, unsigned node, const struct effect *x, void *audit)
{
	struct audit *a = audit;
	const struct vm *v;

	(void)node;
	if (x->kind != EFFECT_PLATFORM || x->u.platform.op > PLATFORM_ASSIGN)
		return;
	audit_step(a, s);
	v = fold_vm(a->fold, x->u.platform.vm);
	if (x->u.platform.op == PLATFORM_REBOOT)
		a->reboots++;
	/* A withdrawal that has ended meanwhile: the key makes it harmless. */
	if (v == NULL || v->withdrawal_id == 0 ||
	    withdrawal_key(v->withdrawal_id, x->u.platform.op) !=
		x->u.platform.key)
		return;
	if (v->state != VM_OUT)
		a->early_operations++;
}

unsigned
audit_faults(const struct audit *a)
{
	return a->budget_violations + a->double_memberships +
	    a->config_reverts + a->early_operations + a->divergences;
}
