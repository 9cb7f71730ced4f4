/* VM counts of pools, and the availability budgets that depend on them. */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fold_state.h"

#define MS_PER_DAY (INT64_C(24) * 3600 * MS_PER_S)

static struct fold_pool *
pool_get_or_add(struct fold *f, const char *name)
{
	struct fold_pool *p;

	HASH_FIND_STR(f->pools, name, p);
	if (p != NULL)
		return p;
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		err(1, "fold");
	memcpy(p->name, name, strlen(name) + 1);
	HASH_ADD_STR(f->pools, name, p);
	return p;
}

const struct fold_pool *
fold_pool(const struct fold *f, const char *name)
{
	struct fold_pool *p;

	HASH_FIND_STR(f->pools, name, p);
	return p;
}

static void
fold_update_unavailable(struct fold *f, struct vm *v, bool counted)
{
	if (v->is_unavailable)
		LIST_REMOVE(v, unavailable);
	v->is_unavailable =
	    counted && v->state != VM_LOST && !fold_vm_serves(f, v);
	if (v->is_unavailable)
		LIST_INSERT_HEAD(&f->unavailable, v, unavailable);
}

const struct vm_list *
fold_unavailable_vms(const struct fold *f)
{
	return &f->unavailable;
}

void
fold_count_vm(struct fold *f, struct vm *v, int sign)
{
	struct fold_pool *p;

	fold_update_unavailable(f, v, sign > 0);
	if (v->withdrawal_id != 0)
		f->withdrawn_count += (size_t)sign;
	if (v->role != VM_WORKER)
		return;
	p = pool_get_or_add(f, v->pool);
	p->total += sign;
	if (fold_vm_serves(f, v))
		p->serving += sign;
	if (v->withdrawal_id == 0)
		return;
	p->withdrawn += sign;
	memcpy(p->withdrawn_data_centre, v->data_centre,
	    sizeof(p->withdrawn_data_centre));
	memcpy(p->withdrawn_domain, v->failure_domain,
	    sizeof(p->withdrawn_domain));
	if (p->withdrawn == 0) {
		p->withdrawn_data_centre[0] = '\0';
		p->withdrawn_domain[0] = '\0';
	}
}

size_t
fold_withdrawn_count(const struct fold *f)
{
	return f->withdrawn_count;
}

void
fold_vm_change_begin(struct fold *f, struct vm *v)
{
	fold_count_vm(f, v, -1);
}

void
fold_vm_change_end(struct fold *f, struct vm *v, uint64_t offset)
{
	fold_count_vm(f, v, 1);
	v->epoch++;
	v->changed_offset = offset;
	f->revision++;
}

bool
fold_config_lists_leaving(const struct fold *f, const char *vm)
{
	size_t i;

	for (i = 0; f->text != NULL && i < f->text->leaving_count; i++)
		if (strcmp(f->text->leaving[i], vm) == 0)
			return true;
	return false;
}

static void
fold_set_config_leaving(struct fold *f, const char *name, bool leaving)
{
	struct vm *v = fold_vm_find(f, name);

	if (v == NULL || v->config_leaving == leaving)
		return;
	fold_count_vm(f, v, -1);
	v->config_leaving = leaving;
	fold_count_vm(f, v, 1);
}

void
fold_update_config_leaving(struct fold *f, const struct text *old)
{
	size_t i;

	for (i = 0; old != NULL && i < old->leaving_count; i++)
		fold_set_config_leaving(f, old->leaving[i], false);
	for (i = 0; f->text != NULL && i < f->text->leaving_count; i++)
		fold_set_config_leaving(f, f->text->leaving[i], true);
}

static bool
budget_domain_allows(const struct fold_pool *p, const struct vm *v)
{
	return p->withdrawn == 0 ||
	    (strcmp(p->withdrawn_data_centre, v->data_centre) == 0 &&
		strcmp(p->withdrawn_domain, v->failure_domain) == 0);
}

bool
fold_budget_allows(
    const struct fold *f, const struct vm *v, char *reason, size_t size)
{
	const struct fold_pool *p = fold_pool(f, v->pool);
	const struct text_pool *t;
	int64_t left;

	if (f->text == NULL || p == NULL) {
		snprintf(reason, size, "no text is in force");
		return false;
	}
	t = text_pool(f->text, v->pool);
	if (t == NULL)
		return true;
	if (!budget_domain_allows(p, v)) {
		snprintf(reason, size,
		    "pool %s: failure domain %s is already disrupted", p->name,
		    p->withdrawn_domain);
		return false;
	}
	left = p->serving - (fold_vm_serves(f, v) ? 1 : 0);
	if (left * TEXT_PPM >= p->total * t->availability_ppm)
		return true;
	snprintf(reason, size,
	    "pool %s: %lld of %lld VMs would serve, availability is %d ppm",
	    p->name, (long long)left, (long long)p->total, t->availability_ppm);
	return false;
}

bool
fold_vm_maintenance_due(const struct fold *f, const struct vm *v)
{
	if (f->text == NULL || !f->text->maintenance.enabled)
		return false;
	return v->maintained_ms == 0 ||
	    f->log_ms - v->maintained_ms >=
	    f->text->maintenance.every_days * MS_PER_DAY;
}
