/*
 * VMs of the platform: the truth at once, and the list that readers see
 * with a lag.  Operations are keyed: a key that was seen does nothing again.
 */
#ifndef STANDIN_VMS_H
#define STANDIN_VMS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <json-c/json.h>
#include <uthash.h>

#include "event.h"

struct vms_entry {
	struct vm_list_entry truth;
	struct vm_list_entry shown;
	uint64_t revision; /* of the last shown change; 0: not shown yet */
	int64_t back_ms; /* end of a reboot, 0: none */
	unsigned reboots;
	UT_hash_handle hh; /* by truth.vm */
};

/* A change that is not shown yet. */
struct vms_change {
	struct vm_list_entry entry;
	int64_t due_ms;
	STAILQ_ENTRY(vms_change) entries;
};

/* Answer to a keyed operation, kept for its repeats. */
struct vms_operation {
	char id[NAME_BYTES + 24]; /* VM and key */
	char state[16];
	uint64_t incarnation;
	UT_hash_handle hh;
};

struct vms {
	int lag_ms;
	int reboot_ms;
	uint64_t revision;
	uint64_t operations_run;
	uint64_t prng;
	struct vms_entry *list;
	struct vms_operation *operations;
	STAILQ_HEAD(vms_changes, vms_change) changes;
};

enum vms_result {
	VMS_DONE,
	VMS_MISSING, /* no such VM */
	VMS_CONFLICT /* the incarnation differs */
};

void vms_init(struct vms *v, int lag_ms, int reboot_ms, uint64_t seed);
void vms_uninit(struct vms *v);
struct vms_entry *vms_get(struct vms *v, const char *name);
/* Adds or replaces VMs of a JSON list; returns how many were taken. */
int vms_load(struct vms *v, struct json_object *list, int64_t now_ms);
bool vms_set_state(
    struct vms *v, const char *name, const char *state, int64_t now_ms);
/*
 * OP is "drain", "reboot" or "assign" (to "pool").  *answer is what a first
 * call or a repeat is answered with; it belongs to "v".
 */
enum vms_result vms_operate(struct vms *v, const char *name, const char *op,
    uint64_t key, uint64_t incarnation, const char *pool, int64_t now_ms,
    const struct vms_operation **answer);
/* Shows what is due and ends reboots; call often. */
void vms_tick(struct vms *v, int64_t now_ms);
/* The lagging list; "data_centre" NULL for all. */
struct json_object *vms_read(
    const struct vms *v, const char *data_centre, uint64_t since);
struct json_object *vms_state(const struct vms *v);

#endif
