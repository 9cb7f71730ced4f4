/* State that the files of the roster's reducer share; for roster*.c only. */
#ifndef ROSTER_STATE_H
#define ROSTER_STATE_H

#include <sys/queue.h>

#include <uthash.h>

#include "roster.h"

#define ROSTER_POOLS_MAX 128

enum machine_command {
	MACHINE_COMMAND_NONE,
	MACHINE_COMMAND_MOVE,
	MACHINE_COMMAND_MAINTENANCE
};

enum machine_command_phase {
	COMMAND_PHASE_CORDON, /* until the machine's worker runs nothing */
	COMMAND_PHASE_SENT, /* until the platform has answered */
	COMMAND_PHASE_EXECUTING /* until the machine is listed as up again */
};

struct machine {
	struct machine_report report;
	/* when the newest list that contains it was requested */
	int64_t listed_us;
	int missing_from_lists; /* newest lists in a row that lack it */
	enum machine_command command;
	enum machine_command_phase phase;
	char to_pool[NAME_BYTES]; /* MACHINE_COMMAND_MOVE */
	/*
	 * The machine's worker when the command was last sent, and its pool;
	 * "" once the worker is known to have ended.
	 */
	char commanded_worker[NAME_BYTES];
	char commanded_pool[NAME_BYTES];
	/* The last such worker that is known to have ended, its pool, when. */
	char removed_worker[NAME_BYTES];
	char removed_pool[NAME_BYTES];
	int64_t removed_us;
	int64_t wave_number; /* MACHINE_COMMAND_MAINTENANCE */
	int64_t phase_since_us;
	int64_t command_not_before_us; /* no command is sent earlier */
	/*
	 * A predecessor's command may be carried out until then: only a list
	 * that was requested later shows the machine's state.  0: none.
	 */
	int64_t holdoff_until_us;
	/*
	 * When the newest command that may yet be carried out got no answer; 0:
	 * there is none.
	 */
	int64_t unconfirmed_us;
	/* when an open wave last listed it as pending; 0: never */
	int64_t maintenance_pending_us;
	/* The next four are from the last report about its worker. */
	size_t task_count;
	size_t long_running_count; /* tasks that do not end by themselves */
	bool cordoned;
	int64_t last_report_us; /* 0: none about this worker yet */
	/* The worker is not evacuated for maintenance again earlier. */
	int64_t evacuation_not_before_us;
	int64_t worker_listed_us; /* when the list first had this worker */
	UT_hash_handle hh; /* by machine */
};

struct wave_machine {
	char machine[NAME_BYTES];
	bool maintenance_started; /* or finished, or rejected for good */
};

struct wave {
	int64_t number;
	struct wave_machine *machines;
	size_t machine_count;
	int max_down; /* machines down at once; 0: not requested yet */
	int64_t requested_us; /* 0: not known yet */
	int64_t deadline_us;
	bool running_reported; /* status "running" was published */
	bool completed;
	LIST_ENTRY(wave) entries;
};

/* Why a move from or to a pool is withheld. */
enum withhold_reason {
	WITHHOLD_NONE,
	WITHHOLD_NEED_UNKNOWN, /* the pool's need is not known */
	WITHHOLD_STALE_WORKER_LIST /* its owner does not see new workers */
};

struct roster_pool {
	char name[NAME_BYTES];
	bool spare; /* its machines are switched off */
	struct pool_demand demand; /* DEMAND_UNKNOWN before the first report */
	int64_t last_report_us; /* 0: never */
	int64_t owner_fence; /* highest that was reported; 0: none */
	int64_t ignored_fence; /* newest lower one, which was logged */
	int64_t worker_list_us; /* when its owner last read the worker list */
	/* the owner's worker list is current since then; 0: it is stale */
	int64_t worker_list_fresh_since_us;
	/* a task left a worker that is evacuated for maintenance; 0: never */
	int64_t evacuation_progress_us;
	/* assigned or moving to the pool, recomputed at each tick */
	size_t machine_count;
	size_t need; /* machines needed for present and arriving work */
	/* machines needed by the time that one moved now can run tasks */
	size_t forecast;
	/*
	 * Machines that the pool does not give away: need and forecast.  While
	 * a new owner cannot determine the demand yet, the last known values
	 * count, too.
	 */
	enum demand_coverage demand_coverage;
	size_t retained_need;
	size_t retained_forecast;
	size_t last_known_need; /* at last_known_us */
	size_t last_known_forecast;
	int64_t last_known_us; /* DEMAND_COMPLETE was reported; 0: never */
	size_t peak; /* highest retained forecast within PEAK_HOLD_MS */
	int64_t peak_us; /* when it was seen */
	bool peak_known; /* the demand was known at the last update */
	enum withhold_reason withhold_reason; /* newest since it was logged */
	bool source_exhausted; /* no machine can be moved here at this tick */
};

/* Machine that a predecessor sent a command for recently. */
struct command_holdoff {
	char machine[NAME_BYTES];
	int64_t until_us; /* no command of this controller earlier */
	LIST_ENTRY(command_holdoff) entries;
};

struct roster {
	struct roster_opts opts;
	int64_t now_us;
	struct roster_effects *effects; /* of the step in progress */
	struct machine *machines; /* by name */
	bool list_received; /* at least once */
	bool list_in_flight;
	bool list_refresh_needed; /* before the regular interval is over */
	int64_t pools_logged_us;
	int64_t withheld_logged_us;
	int64_t list_requested_us;
	struct roster_pool pools[ROSTER_POOLS_MAX];
	size_t pool_count;
	LIST_HEAD(wave_list, wave) waves;
	LIST_HEAD(command_holdoff_list, command_holdoff) holdoffs;
};

/* Appends a zeroed effect; aborts when memory is short. */
struct roster_effect *roster_add_effect(
    struct roster *r, enum roster_effect_kind kind);
void roster_log(struct roster *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
struct roster_pool *roster_find_pool(struct roster *r, const char *name);
struct machine *roster_find_machine(struct roster *r, const char *name);
/* Its worker runs no tasks and is cordoned, or the machine is off. */
bool machine_drained(const struct roster *r, const struct machine *m);
/* Its newest report shows the effect of any command of a predecessor. */
bool machine_report_is_current(const struct machine *m);
/* The last report about its worker is recent enough to act on. */
bool machine_report_is_fresh(const struct roster *r, const struct machine *m);
/* Its worker ran no tasks at the last report, or the machine is off. */
bool machine_idle(const struct roster *r, const struct machine *m);
/* Assigns a command, which begins with COMMAND_PHASE_CORDON. */
void machine_set_command(
    struct roster *r, struct machine *m, enum machine_command command);
void machine_set_phase(
    struct roster *r, struct machine *m, enum machine_command_phase phase);
void machine_clear_command(struct machine *m);
/* The platform may yet carry out a command that it did not answer. */
bool machine_command_may_be_executed(
    const struct roster *r, const struct machine *m);

/* roster_waves.c */
void roster_handle_wave_request(
    struct roster *r, const struct roster_event *ev);
void roster_handle_wave_progress(
    struct roster *r, const struct roster_event *ev);
void roster_handle_wave_request_time(
    struct roster *r, const struct roster_event *ev);
void roster_run_waves(struct roster *r);
/* Marks the machine as done in its wave and records that for a successor. */
void roster_maintenance_started(struct roster *r, struct machine *m);
void roster_waves_free(struct roster *r);

/* roster_moves.c */
void roster_run_moves(struct roster *r);

#endif
