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
	int command_holdoff_ms; /* between orders of two holders for one machine
				 */
	int maintenance_ms; /* a machine's upkeep takes so long */
	int move_ms;
};

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_MAINTENANCE,
	MACHINE_DOWN
};

struct machine_report {
	char machine[NAME_BYTES];
	char pool[NAME_BYTES];
	char worker[NAME_BYTES]; /* id of its worker; "" none */
	char label[NAME_BYTES]; /* kind: machines of a kind may change places */
	enum machine_state state;
	int64_t cpu_milli; /* thousandths of a core */
};

/* What a pool's owner says of it. */
struct pool_worker_report {
	char worker[NAME_BYTES];
	size_t task_count;
	size_t long_running_count; /* of them: they do not end by themselves */
	bool cordoned; /* gets no new tasks, as it was asked */
};

struct pool_report {
	char pool[NAME_BYTES];
	struct pool_demand demand;
	int64_t
	    worker_list_age_ms; /* since its owner read the list of workers */
	struct pool_worker_report *workers;
	size_t worker_count;
};

enum roster_command_result {
	ROSTER_COMMAND_DONE,
	ROSTER_COMMAND_BUSY, /* not now: try again */
	ROSTER_COMMAND_REJECTED, /* the platform does not take it at all */
	ROSTER_COMMAND_FENCED, /* a later holder has ordered */
	ROSTER_COMMAND_UNKNOWN
};

enum roster_event_kind {
	ROSTER_EVENT_TICK,
	ROSTER_EVENT_MACHINE_LIST, /* the whole list */
	ROSTER_EVENT_POOL_CONFIG, /* a pool of the configuration */
	ROSTER_EVENT_POOL_REPORT, /* of a pool's owner */
	ROSTER_EVENT_WAVE_REQUEST, /* operators ask for a wave */
	ROSTER_EVENT_WAVE_PROGRESS, /* what a predecessor has recorded of one …
				     */
	ROSTER_EVENT_WAVE_REQUEST_TIME, /* … and when it was asked for */
	ROSTER_EVENT_PAST_COMMAND, /* a predecessor has ordered something of a
				      machine */
	ROSTER_EVENT_COMMAND_RESULT
};

struct roster_event {
	enum roster_event_kind kind;
	int64_t now_us;
	union roster_event_data {
		struct roster_machines_event {
			const struct machine_report *list;
			size_t count;
		} machine_list;
		struct roster_pool_event {
			char name[NAME_BYTES];
			bool spare;
		} pool_config;
		const struct pool_report *report;
		struct roster_wave_event {
			int64_t wave_number;
			const char (*machine_names)[NAME_BYTES];
			size_t count;
			int within_ms;
			int max_down;
		} wave_request;
		struct roster_wave_progress_event {
			int64_t wave_number;
			bool completed;
			const char *machine; /* done; NULL none */
		} wave_progress;
		struct roster_wave_time_event {
			int64_t wave_number;
			int64_t ago_ms;
		} wave_request_time;
		struct roster_past_command_event {
			char machine[NAME_BYTES];
			int64_t ago_ms;
		} past_command;
		struct roster_result_event {
			char machine[NAME_BYTES];
			enum roster_command_result result;
		} command_result;
	} u;
};

enum roster_effect_kind {
	ROSTER_EFFECT_LIST_MACHINES, /* read the list of machines */
	ROSTER_EFFECT_MOVE,
	ROSTER_EFFECT_MAINTENANCE,
	ROSTER_EFFECT_WAVE_STATUS, /* tell operators of a wave */
	ROSTER_EFFECT_RECORD_MAINTENANCE, /* record that a machine's upkeep has
					     begun … */
	ROSTER_EFFECT_RECORD_WAVE_REQUEST, /* … and that a wave is asked for
					      from now on */
	ROSTER_EFFECT_LOG
};

#define ROSTER_LOG_BYTES 448

struct roster_effect {
	enum roster_effect_kind kind;
	char machine[NAME_BYTES];
	char to_pool[NAME_BYTES]; /* ROSTER_EFFECT_MOVE: where to */
	int64_t wave_number;
	bool completed; /* ROSTER_EFFECT_WAVE_STATUS */
	enum log_level level;
	char line[ROSTER_LOG_BYTES];
};

struct roster_effects {
	struct roster_effect *list;
	size_t count;
	size_t capacity;
};

void roster_effects_uninit(struct roster_effects *fx);

struct roster *roster_new(const struct roster_opts *opts);
void roster_free(struct roster *f);
void roster_step(
    struct roster *f, const struct roster_event *ev, struct roster_effects *fx);
enum cordon_kind {
	CORDON_NO_NEW_TASKS, /* no new tasks */
	CORDON_EVACUATE, /* and those it has are to go elsewhere */
	CORDON_MACHINE_REMOVED, /* its machine was taken away: it has ended */
	CORDON_MAINTENANCE_PENDING /* its machine's upkeep is to come: nothing
				      that lasts */
};

/* Machines on their way to a pool; the last of them works within so long. */
size_t roster_incoming(
    const struct roster *f, const char *pool, int *within_ms);
/* Calls back with each worker of a pool of which its owner is to know. */
void roster_each_cordon(const struct roster *f, const char *pool,
    void (*each)(void *arg, const char *worker, enum cordon_kind kind),
    void *arg);

#endif
