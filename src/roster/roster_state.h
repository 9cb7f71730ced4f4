/* What the files of the roster's reducer share; for roster*.c only. */
#ifndef ROSTER_STATE_H
#define ROSTER_STATE_H

#include <sys/queue.h>

#include <uthash.h>

#include "roster.h"

#define ROSTER_POOLS_MAX 128

enum machine_order {
	ORDER_NONE,
	ORDER_MOVE,
	ORDER_UPKEEP
};

enum order_phase {
	PHASE_CORDON, /* waits until its worker runs nothing */
	PHASE_CALL, /* the platform is being told */
	PHASE_AWAY /* told: until the list shows it up again */
};

struct machine {
	struct machine_report report;
	uint64_t round; /* of the list it was seen in last */
	enum machine_order order;
	enum order_phase phase;
	char to_pool[NAME_BYTES]; /* ORDER_MOVE */
	char from_pool[NAME_BYTES]; /* PHASE_AWAY: where it was … */
	char left_worker[NAME_BYTES]; /* … and its worker, which has ended */
	int64_t left_us; /* when it ended */
	int64_t wave; /* ORDER_UPKEEP */
	int64_t since_us; /* of the phase */
	int64_t retry_us; /* no call earlier */
	int64_t due_us; /* an open wave was to come to it then; 0: none */
	size_t tasks; /* of its worker, as its owner said … */
	size_t lasting; /* … those that do not end by themselves … */
	bool cordoned;
	int64_t told_us; /* … then; 0 never */
	int64_t worker_us; /* when the list showed this worker first */
	UT_hash_handle hh; /* by machine */
};

struct wave_machine {
	char machine[NAME_BYTES];
	bool begun; /* its upkeep */
};

struct wave {
	int64_t number;
	struct wave_machine *list;
	size_t count;
	int cap;
	int64_t since_us; /* asked for then; 0: not known yet */
	int64_t until_us; /* to be completed */
	bool told_running;
	bool completed;
	LIST_ENTRY(wave) entries;
};

/* Why a pool does not give machines away, or get them. */
enum withheld {
	WITHHELD_NONE,
	WITHHELD_UNKNOWN, /* what it needs is not known */
	WITHHELD_BLIND /* its owner does not hear of new workers */
};

struct roster_pool {
	char name[NAME_BYTES];
	bool spare;
	struct pool_demand demand; /* DEMAND_UNKNOWN before the first report */
	int64_t told_us; /* newest report; 0 never */
	int64_t view_us; /* its owner's newest view of the list of workers … */
	int64_t sighted_us; /* … which is new since then; 0: it is old */
	size_t have; /* machines it has or is about to have, at this look */
	size_t need; /* machines, now … */
	size_t foreseen; /* … and by the time a moved one can work */
	/*
	 * What it gives no machine below: the same, and what was known before
	 * where its owner does not know yet.
	 */
	enum demand_coverage known;
	size_t keeps, keeps_foreseen;
	size_t known_need, known_foreseen; /* when they were known last … */
	int64_t known_us; /* … which was then; 0 never */
	size_t peak; /* highest need of late … */
	int64_t peak_us; /* … seen then */
	bool peak_known; /* by what owners have known since then */
	enum withheld withheld; /* seen since the last line of the log */
	bool no_source; /* no machine is to be had for it at this look */
};

/* A machine that a predecessor has ordered about. */
struct quiet_machine {
	char machine[NAME_BYTES];
	int64_t until_us; /* no order of ours earlier */
	LIST_ENTRY(quiet_machine) entries;
};

struct roster {
	struct roster_opts opts;
	int64_t now_us;
	struct roster_effects *fx;
	struct machine *machines; /* by name */
	uint64_t round;
	bool listed; /* the list has been read */
	bool listing;
	bool list_wanted; /* sooner than it would be due */
	int64_t pools_logged_us;
	int64_t withheld_logged_us;
	int64_t list_us; /* when it was asked for */
	struct roster_pool pools[ROSTER_POOLS_MAX];
	size_t pool_count;
	LIST_HEAD(wave_list, wave) waves;
	LIST_HEAD(quiet_list, quiet_machine) quiet;
};

struct roster_effect *roster_fx(struct roster *f, enum roster_effect_kind kind);
void roster_log(struct roster *f, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
struct roster_pool *roster_find_pool(struct roster *f, const char *name);
struct machine *roster_find_machine(struct roster *f, const char *name);
/* Its worker runs nothing and gets nothing, or it has none. */
bool machine_empty(const struct roster *f, const struct machine *m);
/* Its worker ran nothing when its owner spoke last. */
bool machine_idle(const struct roster *f, const struct machine *m);
void machine_set_order(
    struct roster *f, struct machine *m, enum machine_order order);
void machine_set_phase(
    struct roster *f, struct machine *m, enum order_phase phase);
void machine_drop_order(struct machine *m);

/* roster_waves.c */
void roster_take_wave(struct roster *f, const struct roster_event *ev);
void roster_take_known(struct roster *f, const struct roster_event *ev);
void roster_take_since(struct roster *f, const struct roster_event *ev);
void roster_run_waves(struct roster *f);
void roster_upkeep_begun(struct roster *f, struct machine *m);
void roster_waves_free(struct roster *f);

/* roster_moves.c */
void roster_run_moves(struct roster *f);

#endif
