/* What the files of the roster's reducer share; for roster*.c only. */
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
	COMMAND_PHASE_CORDON, /* waits until its worker runs nothing */
	COMMAND_PHASE_SENT, /* the platform is being told */
	COMMAND_PHASE_EXECUTING /* told: until the list shows it up again */
};

struct machine {
	struct machine_report report;
	uint64_t list_round; /* of the list it was seen in last */
	enum machine_command command;
	enum machine_command_phase phase;
	char to_pool[NAME_BYTES]; /* MACHINE_COMMAND_MOVE */
	char
	    from_pool[NAME_BYTES]; /* COMMAND_PHASE_EXECUTING: where it was … */
	char removed_worker[NAME_BYTES]; /* … and its worker, which has ended */
	int64_t removed_us; /* when it ended */
	int64_t wave_number; /* MACHINE_COMMAND_MAINTENANCE */
	int64_t phase_since_us; /* of the phase */
	int64_t command_not_before_us; /* no call earlier */
	int64_t maintenance_pending_us; /* an open wave was to come to it then;
					   0: none */
	size_t task_count; /* of its worker, as its owner said … */
	size_t long_running_count; /* … those that do not end by themselves … */
	bool cordoned;
	int64_t last_report_us; /* … then; 0 never */
	int64_t worker_listed_us; /* when the list showed this worker first */
	UT_hash_handle hh; /* by machine */
};

struct wave_machine {
	char machine[NAME_BYTES];
	bool maintenance_started; /* its upkeep */
};

struct wave {
	int64_t number;
	struct wave_machine *machines;
	size_t machine_count;
	int max_down;
	int64_t requested_us; /* asked for then; 0: not known yet */
	int64_t deadline_us; /* to be completed */
	bool running_reported;
	bool completed;
	LIST_ENTRY(wave) entries;
};

/* Why a pool does not give machines away, or get them. */
enum withhold_reason {
	WITHHOLD_NONE,
	WITHHOLD_NEED_UNKNOWN, /* what it needs is not known */
	WITHHOLD_STALE_WORKER_LIST /* its owner does not hear of new workers */
};

struct roster_pool {
	char name[NAME_BYTES];
	bool spare;
	struct pool_demand demand; /* DEMAND_UNKNOWN before the first report */
	int64_t last_report_us; /* newest report; 0 never */
	int64_t worker_list_us; /* its owner's newest view of the list of
				   workers … */
	int64_t worker_list_fresh_since_us; /* … which is new since then; 0: it
					       is old */
	size_t machine_count; /* machines it has or is about to machine_count,
				 at this look */
	size_t need; /* machines, now … */
	size_t forecast; /* … and by the time a moved one can work */
	/*
	 * What it gives no machine below: the same, and what was known before
	 * where its owner does not know yet.
	 */
	enum demand_known demand_known;
	size_t retained_need, retained_forecast;
	size_t last_known_need,
	    last_known_forecast; /* when they were known last … */
	int64_t last_known_us; /* … which was then; 0 never */
	size_t peak; /* highest need of late … */
	int64_t peak_us; /* … seen then */
	bool peak_known; /* by what owners have known since then */
	enum withhold_reason
	    withhold_reason; /* seen since the last line of the log */
	bool source_exhausted; /* no machine is to be had for it at this look */
};

/* A machine that a predecessor has ordered about. */
struct command_holdoff {
	char machine[NAME_BYTES];
	int64_t until_us; /* no order of ours earlier */
	LIST_ENTRY(command_holdoff) entries;
};

struct roster {
	struct roster_opts opts;
	int64_t now_us;
	struct roster_effects *fx;
	struct machine *machines; /* by name */
	uint64_t list_round;
	bool list_received; /* the list has been read */
	bool list_in_flight;
	bool list_refresh_needed; /* sooner than it would be due */
	int64_t pools_logged_us;
	int64_t withheld_logged_us;
	int64_t list_requested_us; /* when it was asked for */
	struct roster_pool pools[ROSTER_POOLS_MAX];
	size_t pool_count;
	LIST_HEAD(wave_list, wave) waves;
	LIST_HEAD(command_holdoff_list, command_holdoff) holdoffs;
};

struct roster_effect *roster_add_effect(
    struct roster *f, enum roster_effect_kind kind);
void roster_log(struct roster *f, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
struct roster_pool *roster_find_pool(struct roster *f, const char *name);
struct machine *roster_find_machine(struct roster *f, const char *name);
/* Its worker runs nothing and gets nothing, or it has none. */
bool machine_drained(const struct roster *f, const struct machine *m);
/* Its worker ran nothing when its owner spoke last. */
bool machine_idle(const struct roster *f, const struct machine *m);
void machine_set_command(
    struct roster *f, struct machine *m, enum machine_command order);
void machine_set_phase(
    struct roster *f, struct machine *m, enum machine_command_phase phase);
void machine_clear_command(struct machine *m);

/* roster_waves.c */
void roster_handle_wave_request(
    struct roster *f, const struct roster_event *ev);
void roster_handle_wave_progress(
    struct roster *f, const struct roster_event *ev);
void roster_handle_wave_request_time(
    struct roster *f, const struct roster_event *ev);
void roster_run_waves(struct roster *f);
void roster_maintenance_started(struct roster *f, struct machine *m);
void roster_waves_free(struct roster *f);

/* roster_moves.c */
void roster_run_moves(struct roster *f);

#endif
