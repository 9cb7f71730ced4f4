/*
 * Machines of all pools: waves of upkeep and moves that let pools follow
 * their demand.  A reducer like the pools': events in, effects out, no I/O,
 * no clock.  One daemon runs it for all, under a fence of its own.
 */
#ifndef ROSTER_H
#define ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "demand.h"
#include "effect.h"

struct roster;

struct roster_opts {
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
	size_t lasting; /* of them: they do not end by themselves */
	bool cordoned; /* gets no new tasks, as it was asked */
};

struct pool_report {
	char pool[NAME_BYTES];
	struct pool_demand demand;
	int64_t view_age_ms; /* since its owner read the list of workers */
	struct pool_worker_report *workers;
	size_t worker_count;
};

enum roster_call_end {
	ROSTER_DONE,
	ROSTER_BUSY, /* not now: try again */
	ROSTER_NEVER, /* the platform does not take it at all */
	ROSTER_FENCED, /* a later holder has ordered */
	ROSTER_UNKNOWN
};

enum roster_event_kind {
	ROSTER_TICK,
	ROSTER_MACHINES, /* the whole list */
	ROSTER_POOL, /* a pool of the configuration */
	ROSTER_REPORT, /* of a pool's owner */
	ROSTER_WAVE, /* operators ask for a wave */
	ROSTER_WAVE_KNOWN, /* what a predecessor has recorded of one … */
	ROSTER_WAVE_SINCE, /* … and when it was asked for */
	ROSTER_ORDERED, /* a predecessor has ordered something of a machine */
	ROSTER_CALL_END
};

struct roster_event {
	enum roster_event_kind kind;
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
			int64_t wave;
			int64_t ago_ms;
		} since;
		struct {
			char machine[NAME_BYTES];
			int64_t ago_ms;
		} ordered;
		struct {
			char machine[NAME_BYTES];
			enum roster_call_end end;
		} call;
	} u;
};

enum roster_effect_kind {
	ROSTER_LIST, /* read the list of machines */
	ROSTER_MOVE,
	ROSTER_UPKEEP,
	ROSTER_STATUS, /* tell operators of a wave */
	ROSTER_NOTE, /* record that a machine's upkeep has begun … */
	ROSTER_SINCE, /* … and that a wave is asked for from now on */
	ROSTER_LOG
};

#define ROSTER_LOG_BYTES 448

struct roster_effect {
	enum roster_effect_kind kind;
	char machine[NAME_BYTES];
	char pool[NAME_BYTES]; /* ROSTER_MOVE: where to */
	int64_t wave;
	bool completed; /* ROSTER_STATUS */
	enum log_level level;
	char line[ROSTER_LOG_BYTES];
};

struct roster_effects {
	struct roster_effect *list;
	size_t count;
	size_t room;
};

void roster_effects_uninit(struct roster_effects *fx);

struct roster *roster_new(const struct roster_opts *opts);
void roster_free(struct roster *f);
void roster_step(
    struct roster *f, const struct roster_event *ev, struct roster_effects *fx);
enum cordon_kind {
	CORDON_HOLD, /* no new tasks */
	CORDON_EMPTY, /* and those it has are to go elsewhere */
	CORDON_GONE, /* its machine was taken away: it has ended */
	CORDON_DUE /* its machine's upkeep is to come: nothing that lasts */
};

/* Machines on their way to a pool; the last of them works within so long. */
size_t roster_coming(const struct roster *f, const char *pool, int *within_ms);
/* Calls back with each worker of a pool of which its owner is to know. */
void roster_cordons(const struct roster *f, const char *pool,
    void (*each)(void *arg, const char *worker, enum cordon_kind kind),
    void *arg);

#endif
