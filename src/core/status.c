#include "status.h"

#include <string.h>

#include "control.h"
#include "fold.h"
#include "path.h"
#include "peers.h"

struct pool_vm_counts {
	int total, serving, leaving, out, lost;
};

static struct pool_vm_counts
pool_vm_counts(const struct fold *f, const char *pool)
{
	struct pool_vm_counts n = {0};
	const struct vm *v;

	for (v = fold_vms(f); v != NULL; v = v->hh.next) {
		if (v->role != VM_WORKER || strcmp(v->pool, pool) != 0)
			continue;
		n.total++;
		switch (v->state) {
		case VM_SERVING:
			if (fold_vm_serves(f, v))
				n.serving++;
			else
				n.leaving++;
			break;
		case VM_LEAVING:
			n.leaving++;
			break;
		case VM_OUT:
			n.out++;
			break;
		case VM_LOST:
			n.lost++;
			break;
		}
	}
	return n;
}

static void
add_str(struct json_object *o, const char *key, const char *value)
{
	json_object_object_add(o, key, json_object_new_string(value));
}

static void
add_int(struct json_object *o, const char *key, int64_t value)
{
	json_object_object_add(o, key, json_object_new_int64(value));
}

static struct json_object *
status_pool(const struct view *v, const struct text_pool *p)
{
	struct json_object *o = json_object_new_object();
	struct pool_vm_counts n = pool_vm_counts(v->fold, p->name);

	add_str(o, "name", p->name);
	json_object_object_add(o, "spare", json_object_new_boolean(p->spare));
	add_int(o, "availability_ppm", p->availability_ppm);
	add_int(o, "vms", n.total);
	add_int(o, "serving", n.serving);
	add_int(o, "leaving", n.leaving);
	add_int(o, "out", n.out);
	add_int(o, "lost", n.lost);
	add_int(o, "demand_ppm_slots", path_demand_ppm(v->path, p->name));
	return o;
}

/*
 * "budget_held" is true if the share of serving VMs in the service's pool is
 * at least its availability.  The share of an empty pool is 0.
 */
static struct json_object *
status_service(const struct view *v, const struct text_service *s)
{
	struct json_object *o = json_object_new_object();
	struct pool_vm_counts n = pool_vm_counts(v->fold, s->pool);
	int64_t ppm = 0;

	if (n.total > 0)
		ppm = (int64_t)n.serving * TEXT_PPM / n.total;
	add_str(o, "name", s->name);
	add_str(o, "pool", s->pool);
	add_int(o, "availability_ppm", s->availability_ppm);
	add_int(o, "available_ppm", ppm);
	json_object_object_add(o, "budget_held",
	    json_object_new_boolean(ppm >= s->availability_ppm));
	return o;
}

static struct json_object *
status_daemon(const char *name, const char *data_centre, const char *state,
    uint64_t version, uint64_t next)
{
	struct json_object *o = json_object_new_object();

	add_str(o, "name", name);
	add_str(o, "data_centre", data_centre);
	add_str(o, "state", state);
	add_int(o, "config_version", (int64_t)version);
	add_int(o, "fold_next", (int64_t)next);
	return o;
}

static struct json_object *
status_daemons(const struct view *v)
{
	struct json_object *a = json_object_new_array();
	const struct peer *p;
	const char *state = v->stopping ? "stopping" : "starting";

	if (v->ready && !v->stopping)
		state = "alive";
	json_object_array_add(a,
	    status_daemon(v->name, v->data_centre, state,
		fold_config_version(v->fold), fold_next(v->fold)));
	for (p = peers_all(v->peers); p != NULL; p = p->hh.next)
		json_object_array_add(a,
		    status_daemon(p->name, p->data_centre,
			peer_state_name(p->state), p->config_version,
			p->fold_next));
	return a;
}

static struct json_object *
status_leaving(const struct view *v)
{
	struct json_object *a = json_object_new_array();
	const struct vm *m;

	for (m = fold_vms(v->fold); m != NULL; m = m->hh.next) {
		if (m->role != VM_WORKER)
			continue;
		if (m->state != VM_LEAVING && m->state != VM_OUT &&
		    (m->state != VM_SERVING ||
			(fold_vm_serves(v->fold, m) &&
			    !control_vm_is_leaving(
				v->control, m->name, m->incarnation))))
			continue;
		json_object_array_add(a, json_object_new_string(m->name));
	}
	return a;
}

struct json_object *
status_json(const struct view *v)
{
	struct json_object *o = json_object_new_object();
	struct json_object *services = json_object_new_array();
	struct json_object *pools = json_object_new_array();
	const struct text *t = fold_text(v->fold);
	size_t i;

	add_str(o, "name", v->name);
	add_str(o, "data_centre", v->data_centre);
	json_object_object_add(o, "ready", json_object_new_boolean(v->ready));
	json_object_object_add(
	    o, "stopping", json_object_new_boolean(v->stopping));
	json_object_object_add(
	    o, "log_down", json_object_new_boolean(v->log_down));
	add_str(o, "deployment", t ? t->deployment : "");
	add_int(o, "config_version", (int64_t)fold_config_version(v->fold));
	add_int(o, "fold_next", (int64_t)fold_next(v->fold));
	for (i = 0; t != NULL && i < t->service_count; i++)
		json_object_array_add(
		    services, status_service(v, &t->services[i]));
	for (i = 0; t != NULL && i < t->pool_count; i++)
		json_object_array_add(pools, status_pool(v, &t->pools[i]));
	json_object_object_add(o, "services", services);
	json_object_object_add(o, "pools", pools);
	json_object_object_add(o, "leaving", status_leaving(v));
	json_object_object_add(o, "daemons", status_daemons(v));
	json_object_object_add(o, "verdicts", fold_verdicts_json(v->fold));
	json_object_object_add(
	    o, "unknown_records", fold_unknown_records_json(v->fold));
	return o;
}
