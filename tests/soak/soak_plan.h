/* What happens in a soak, and when: drawn from its seed before it begins. */
#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "soak_proxy.h"

#define SOAK_ACTIONS_MAX 4096
#define SOAK_ODD_ENTRIES 12
/* Seeds that are close begin far apart. */
#define SOAK_SEED_SPREAD UINT64_C(0x9e3779b97f4a7c15)

enum soak_act {
	ACT_KILL,
	ACT_TERM,
	ACT_STOP, /* SIGSTOP, then SIGCONT */
	ACT_HUP,
	ACT_SETTINGS, /* written again under the daemon */
	ACT_DAMAGE, /* written in part */
	ACT_CONFIGS, /* a storm of configurations */
	ACT_LINK_STORE, /* between a daemon and the platform */
	ACT_LINK_FRONT, /* between callers and a daemon */
	ACT_LINK_WORKER, /* between all daemons and a worker */
	ACT_WORKER_KILL, /* returns under its id */
	ACT_WORKER_FREEZE,
	ACT_STORE_SLOW,
	ACT_STORE_DOWN,
	ACT_STORE_BUSY,
	ACT_STORE_PART,
	ACT_STORE_FORGET,
	ACT_STORE_LOSE,
	ACT_ODD_ENTRY, /* another writer's, among those of the workers */
	SOAK_ACTS
};

struct soak_action {
	int at_ms, ms; /* from the beginning; for so long */
	enum soak_act act;
	enum link_fault fault; /* of a link */
	int target; /* daemon or worker */
	int amount; /* ms, tries, configurations, or which odd entry */
	bool begun, ended;
};

struct soak_plan {
	struct soak_action list[SOAK_ACTIONS_MAX];
	int count, kinds; /* kinds: of faults, a link's by their kind */
	int end_ms; /* everything is calm from here on */
};

struct soak_plan_opts {
	uint64_t seed;
	int seconds, daemons, workers;
};

void soak_plan_draw(struct soak_plan *p, const struct soak_plan_opts *o);
void soak_plan_print(const struct soak_plan *p, FILE *out);
const char *soak_act_name(enum soak_act act);

#endif
