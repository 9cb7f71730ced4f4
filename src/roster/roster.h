/*
 * Roster: machines of all pools, their maintenance waves and their moves
 * between pools.  A reducer like the pool's: events in, effects out; it does
 * no I/O and reads no clock.  One daemon, the controller, runs it for all
 * pools under a fence of its own.
 */
#ifndef ROSTER_H
#define ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "demand.h"
#include "effect.h"

struct cap_report;
struct roster;

struct roster_opts {
	int64_t now_us;
	/* after a predecessor's command, no other for the same machine */
	int command_holdoff_ms;
	int maintenance_ms; /* duration of one machine's maintenance */
	int move_ms; /* duration of one move */
};

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_MAINTENANCE,
	MACHINE_DOWN
};

/* A machine as the platform lists it. */
struct machine_report {
	char machine[NAME_BYTES];
	char pool[NAME_BYTES];
	char worker[NAME_BYTES]; /* id of its worker; "" if it has none */
	char label[NAME_BYTES]; /* hardware kind: equal kinds can swap pools */
	enum machine_state state;
	int64_t cpu_milli; /* thousandths of a core */
};

/* A worker as the owner of its pool reports it. */
struct pool_worker_report {
	char worker[NAME_BYTES];
	size_t task_count;
	size_t long_running_count; /* tasks that do not end by themselves */
	bool cordoned; /* as requested, it gets no new tasks */
};

/* Report of a pool's owner. */
struct pool_report {
	char pool[NAME_BYTES];
	int64_t fence; /* of the owner's term; 0: not known */
	/*
	 * When the controller sent the request that the report answers, on the
	 * clock of the roster's events: the report is not older.
	 */
	int64_t request_sent_us;
	struct pool_demand demand;
	int64_t worker_list_age_ms; /* since the owner read its worker list */
	struct pool_worker_report *workers;
	size_t worker_count;
	/* On shares of accounts' caps; NULL: none.  Not for the roster. */
	struct cap_report *caps;
};

/* Result of a command that was sent to the platform. */
enum roster_command_result {
	ROSTER_COMMAND_DONE,
	ROSTER_COMMAND_BUSY, /* not carried out; can be sent again */
	ROSTER_COMMAND_REJECTED, /* the platform will never carry it out */
	ROSTER_COMMAND_FENCED, /* a later controller has sent commands */
	ROSTER_COMMAND_UNKNOWN /* possibly carried out */
};

enum roster_event_kind {
	ROSTER_EVENT_TICK,
	ROSTER_EVENT_MACHINE_LIST, /* the platform's list, read to its end */
	ROSTER_EVENT_POOL_CONFIG, /* a pool of the configuration */
	ROSTER_EVENT_POOL_REPORT, /* from the owner of a pool */
	ROSTER_EVENT_WAVE_REQUEST, /* operators request a wave */
	/* The next three come from a predecessor's records. */
	ROSTER_EVENT_WAVE_PROGRESS, /* a machine or a whole wave is finished */
	ROSTER_EVENT_WAVE_REQUEST_TIME, /* when a wave was requested */
	ROSTER_EVENT_PAST_COMMAND, /* a command for a machine was sent */
	ROSTER_EVENT_COMMAND_RESULT
};

struct roster_event {
	enum roster_event_kind kind;
	int64_t now_us;
	union roster_event_data {
		struct roster_machines_event {
			/* NULL: the list could not be read */
			const struct machine_report *list;
			size_t count;
			size_t malformed_count; /* rows that were left out */
		} machine_list;
		struct roster_pool_event {
			char name[NAME_BYTES];
			bool spare; /* its machines are switched off */
		} pool_config;
		const struct pool_report *report;
		struct roster_wave_event {
			int64_t wave_number;
			const char (*machine_names)[NAME_BYTES];
			size_t count;
			int within_ms; /* from the request to completion */
			int max_down; /* machines down at the same time */
		} wave_request;
		struct roster_wave_progress_event {
			int64_t wave_number;
			bool completed; /* the whole wave */
			/* whose maintenance has started; NULL: none */
			const char *machine;
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
	ROSTER_EFFECT_LIST_MACHINES, /* read the platform's list */
	ROSTER_EFFECT_MOVE, /* command: move a machine to a pool */
	ROSTER_EFFECT_MAINTENANCE, /* command: start maintenance */
	ROSTER_EFFECT_WAVE_STATUS, /* publish a wave's status to operators */
	/* The next two are stored for a successor. */
	/* a machine's maintenance has started or was rejected for good */
	ROSTER_EFFECT_RECORD_MAINTENANCE,
	ROSTER_EFFECT_RECORD_WAVE_REQUEST, /* a wave was requested now */
	ROSTER_EFFECT_LOG
};

#define ROSTER_LOG_BYTES 448

struct roster_effect {
	enum roster_effect_kind kind;
	char machine[NAME_BYTES];
	char to_pool[NAME_BYTES]; /* ROSTER_EFFECT_MOVE */
	int64_t wave_number;
	bool completed; /* ROSTER_EFFECT_WAVE_STATUS */
	enum log_level level;
	char line[ROSTER_LOG_BYTES];
};

/* Growing array; the caller runs the effects and resets the count. */
struct roster_effects {
	struct roster_effect *list;
	size_t count;
	size_t capacity;
};

void roster_effects_uninit(struct roster_effects *fx);

/* NULL when memory is short. */
struct roster *roster_new(const struct roster_opts *opts);
void roster_free(struct roster *r);
/* Processes an event and appends its effects to "fx". */
void roster_step(
    struct roster *r, const struct roster_event *ev, struct roster_effects *fx);

/*
 * Whether a command that the roster has issued may still be sent: the machine's
 * worker is cordoned and runs nothing by news that is fresh at "now_us".
 */
bool roster_command_holds(
    struct roster *r, const char *machine, int64_t now_us);

/* What the owner of a pool does with a worker. */
enum cordon_kind {
	CORDON_NO_NEW_TASKS,
	CORDON_EVACUATE, /* no new tasks, and running tasks move elsewhere */
	/* the worker has ended: its machine moves or is in maintenance */
	CORDON_MACHINE_REMOVED,
	CORDON_MAINTENANCE_PENDING /* gets no new long-running tasks */
};

/* A cordon that the owner of a worker's pool has to apply. */
struct cordon {
	char worker[NAME_BYTES];
	enum cordon_kind kind;
	/*
	 * CORDON_MACHINE_REMOVED: since the worker was known to have ended; a
	 * later answer of the worker shows that it lives.
	 */
	int64_t age_ms;
};

/*
 * Number of machines that are moving to a pool.  The worker of the last one
 * is ready within "within_ms".
 */
size_t roster_incoming(
    const struct roster *r, const char *pool, int *within_ms);
/* Calls "each" for every cordon of the pool's workers. */
void roster_each_cordon(const struct roster *r, const char *pool,
    void (*each)(void *arg, const struct cordon *c), void *arg);

#endif
