/* State of the request path, private to the path_* modules. */
#ifndef PATH_PRIV_H
#define PATH_PRIV_H

#include "path.h"
#include "path_credit.h"
#include "path_key.h"
#include "path_queue.h"
#include "path_request.h"
#include "path_retry.h"
#include "path_spill.h"
#include "path_upstream.h"

/* Longest interval between two EVENT_TICK. */
#define PATH_TICK_MAX_US (100 * US_PER_MS)

struct path_service {
	char name[NAME_BYTES];
	/* NULL where the service is no longer in the text. */
	const struct text_service *text;
	struct upstream_pool *pool; /* NULL where the service has no pool */
	struct class_queue queues[CLASS_COUNT];
	/* Of complete answers; moving average. */
	int64_t service_time_us[CLASS_COUNT];
	/* Thousandths of slots used by class quick; moving average. */
	int64_t quick_slots_milli;
	/* Requests from callers since demand_sampled_us. */
	uint64_t arrival_count;
	int64_t demand_sampled_us;
	/* Offered load in parts per million of a slot; moving average. */
	int64_t demand_ppm;
	bool can_borrow; /* a peer may lend slots */
	struct retry_budget retry_tokens;
	unsigned running_count[CLASS_COUNT];
	/* Requests that wait for their claims. */
	unsigned claiming_count[CLASS_COUNT];
	struct path_service *next; /* unused; services are iterated by hh */
	UT_hash_handle hh;
};

struct path_counters {
	uint64_t requests;
	uint64_t answered, not_run, unknown, callers_gone;
	uint64_t attempts, retries, late_answers;
	uint64_t ejections;
};

struct path {
	struct text *text; /* reference; NULL before the first text */
	uint64_t synced_revision; /* revision of the fold at the last sync */
	int64_t synced_us;
	/* Log offset up to which the shares follow the fold. */
	uint64_t shares_offset;
	int64_t health_checked_us;
	int max_weight; /* largest weight of the text's members */
	struct upstream_table table;
	struct credit credit;
	struct path_keys keys;
	struct spill spill;
	struct path_service *services;
	struct path_request *requests; /* by origin */
	struct path_request *attempts; /* by attempt_id */
	struct path_request_list backoff; /* in PATH_BACKOFF */
	struct path_request_list finished; /* freed at the end of the step */
	int64_t last_step_us; /* time of the last step, to detect a pause */
	/* End of a pause whose missed events have not arrived yet; 0: none. */
	int64_t stale_since_us;
	unsigned open_count;
	uint64_t last_attempt_id;
	struct path_counters counters;
};

/*
 * A longer interval between two steps is a pause. Events of that time may be
 * missing, so no request is dispatched until newer ones have arrived, or
 * PATH_STALE_MAX_US has passed.
 */
#define PATH_PAUSE_MIN_US (1 * US_PER_S)
#define PATH_STALE_MAX_US (2 * US_PER_S)

/* Arguments of a step. */
struct path_ctx {
	struct path *p;
	const struct view *v;
	struct effects *fx;
};

/* Final result of a request. */
struct path_result {
	enum outcome outcome;
	int status;
	const char *reason; /* static string; NULL for OUTCOME_ANSWERED */
	int retry_after_ms;
	struct answer *answer; /* not owned; NULL: none */
};

/*
 * path_lifecycle.c: from a request's arrival to its answer. "remaining_ms" is
 * the time left to the deadline of a spilled request; 0 for a caller's own
 * request.
 */
void path_receive(const struct path_ctx *x, const struct path_origin *origin,
    struct request *m, int64_t remaining_ms);
void path_caller_gone(
    const struct path_ctx *x, const struct path_origin *origin);
/* Sends the result and schedules "r" to be freed, in whatever state it is. */
void path_finish(const struct path_ctx *x, struct path_request *r,
    const struct path_result *result);
/*
 * Ends a request that no upstream has answered: "not run", or "unknown" where
 * it may have run.
 */
void path_fail(const struct path_ctx *x, struct path_request *r, int status,
    const char *reason, int retry_after_ms);
void path_expire_overdue(const struct path_ctx *x);
/* Frees finished requests; the last call of a step. */
void path_free_finished(struct path *p);
struct path_request *path_find(
    const struct path *p, const struct path_origin *origin);
int path_retry_after_ms(const struct path_ctx *x, const struct path_service *s,
    enum text_class_id class, const char *member);

/* path_dispatch.c: moves requests from the queues to upstreams. */
void path_dispatch(const struct path_ctx *x);

/* path_attempt.c: attempts at upstreams. */
/* Acquires a slot of the upstream and sends an attempt. */
void path_attempt_start(
    const struct path_ctx *x, struct path_request *r, struct upstream *u);
/* Leaves PATH_CLAIMING; no effect in other states. */
void path_leave_claiming(struct path_request *r);
/* The claim succeeded: queues the request. */
void path_claim_won(const struct path_ctx *x, struct path_request *r);
/* Releases the slot of a request without an attempt in flight. */
void path_release_slot(const struct path_ctx *x, struct path_request *r);
void path_attempt_answered(
    const struct path_ctx *x, uint64_t id, struct answer *a);
void path_attempt_failed(
    const struct path_ctx *x, uint64_t id, enum attempt_failure failure);
/* Queues requests whose back-off has ended. */
void path_end_backoffs(const struct path_ctx *x);
/* Cancels the attempt in flight, if any, and releases its slot. */
void path_attempt_cancel(const struct path_ctx *x, struct path_request *r);

#endif
