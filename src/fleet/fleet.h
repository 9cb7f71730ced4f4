/*
 * Machines of all pools: waves of upkeep and moves that let pools follow
 * their demand.  A reducer like the pools': events in, effects out, no I/O,
 * no clock.  One daemon runs it for all, under a fence of its own.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "effect.h"

struct fleet;

struct fleet_opts {
	int64_t now_us;
	int quiet_ms; /* between orders of two holders for one machine */
	int upkeep_ms; /* a machine's upkeep takes so long */
	int move_ms;
};

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_UPKEEP,
	MACHINE_DOWN
};

struct machine_report {
	char machine[NAME_BYTES];
	char pool[NAME_BYTES];
	char worker[NAME_BYTES]; /* id of its worker; "" none */
	char label[NAME_BYTES]; /* kind: machines of a kind may change places */
	enum machine_state state;
	int64_t cpu; /* thousandths of a core */
};

/* What a pool's owner says of it. */
struct pool_worker_report {
	char worker[NAME_BYTES];
	size_t tasks;
	bool cordoned; /* gets no new tasks, as it was asked */
};

struct pool_report {
	char pool[NAME_BYTES];
	int64_t wanted_milli; /* thousandths of a machine it could use now */
	size_t floor; /* workers that its lasting tasks need */
	struct pool_worker_report *workers;
	size_t worker_count;
};

enum fleet_call_end {
	FLEET_DONE,
	FLEET_BUSY, /* not now: try again */
	FLEET_NEVER, /* the platform does not take it at all */
	FLEET_FENCED, /* a later holder has ordered */
	FLEET_UNKNOWN
};

enum fleet_event_kind {
	FLEET_TICK,
	FLEET_MACHINES, /* the whole list */
	FLEET_POOL, /* a pool of the configuration */
	FLEET_REPORT, /* of a pool's owner */
	FLEET_WAVE, /* operators ask for a wave */
	FLEET_WAVE_KNOWN, /* what a predecessor has recorded of one */
	FLEET_ORDERED, /* a predecessor has ordered something of a machine */
	FLEET_CALL_END
};

struct fleet_event {
	enum fleet_event_kind kind;
	int64_t now_us;
	union {
		struct {
			const struct machine_report *list;
			size_t count;
		} machines;
		struct {
			char name[NAME_BYTES];
			bool spare;
		} pool;
		const struct pool_report *report;
		struct {
			int64_t wave;
			const char (*machines)[NAME_BYTES];
			size_t count;
			int within_ms;
			int cap;
		} wave;
		struct {
			int64_t wave;
			bool completed;
			const char *machine; /* done; NULL none */
		} known;
		struct {
			char machine[NAME_BYTES];
			int64_t ago_ms;
		} ordered;
		struct {
			char machine[NAME_BYTES];
			enum fleet_call_end end;
		} call;
	} u;
};

enum fleet_effect_kind {
	FLEET_LIST, /* read the list of machines */
	FLEET_MOVE,
	FLEET_UPKEEP,
	FLEET_STATUS, /* tell operators of a wave */
	FLEET_NOTE, /* record that a machine's upkeep has begun */
	FLEET_LOG
};

#define FLEET_LOG_BYTES 256

struct fleet_effect {
	enum fleet_effect_kind kind;
	char machine[NAME_BYTES];
	char pool[NAME_BYTES]; /* FLEET_MOVE: where to */
	int64_t wave;
	bool completed; /* FLEET_STATUS */
	enum log_level level;
	char line[FLEET_LOG_BYTES];
};

struct fleet_effects {
	struct fleet_effect *list;
	size_t count;
	size_t room;
};

void fleet_effects_uninit(struct fleet_effects *fx);

struct fleet *fleet_new(const struct fleet_opts *opts);
void fleet_free(struct fleet *f);
void fleet_step(
    struct fleet *f, const struct fleet_event *ev, struct fleet_effects *fx);
/*
 * Workers of a pool that must get no new tasks; "empty" tells that they must
 * also be emptied.  Calls back for each.
 */
void fleet_cordons(const struct fleet *f, const char *pool,
    void (*each)(void *arg, const char *worker, bool empty), void *arg);
/* Pools whose reports are wanted. */
size_t fleet_pool_count(const struct fleet *f);
const char *fleet_pool_name(const struct fleet *f, size_t i);

#endif
