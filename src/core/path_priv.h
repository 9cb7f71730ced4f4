/* State of the request path, shared by its own modules only. */
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

/* A longest silence between two EVENT_TICK. */
#define PATH_TICK_MAX_US (100 * US_PER_MS)

struct path_service {
	char name[NAME_BYTES];
	const struct text_service *text; /* NULL: not in the text any more */
	struct upstream_pool *pool; /* NULL: no pool */
	struct class_queue queues[CLASS_COUNT];
	int64_t service_time_us[CLASS_COUNT]; /* of a whole answer, smoothed */
	int64_t
	    quick_slots_milli; /* used by class quick, smoothed, thousandths */
	uint64_t arrival_count; /* callers' requests since demand_us */
	int64_t demand_sampled_us;
	int64_t demand_ppm; /* offered load in slots, smoothed */
	bool can_borrow; /* without slots of its own it can still serve */
	struct retry_budget retry_tokens;
	unsigned running_count[CLASS_COUNT];
	unsigned claiming_count[CLASS_COUNT]; /* wait for their claims */
	struct path_service *next; /* in the text's order */
	UT_hash_handle hh;
};

struct path_counters {
	uint64_t requests;
	uint64_t answered, not_run, unknown, callers_gone;
	uint64_t attempts, retries, late_answers;
	uint64_t ejections;
};

struct path {
	struct text *text; /* reference; NULL before the first */
	uint64_t synced_revision; /* of the fold, when last synced */
	int64_t synced_us;
	uint64_t shares_offset; /* offset that the daemons' shares follow */
	int64_t health_checked_us;
	int max_weight; /* of the text's members */
	struct upstream_table table;
	struct credit credit;
	struct path_keys keys;
	struct spill spill;
	struct path_service *services;
	struct path_request *requests; /* by origin */
	struct path_request *attempts; /* by attempt */
	struct path_request_list backoff; /* PATH_BACKOFF */
	struct path_request_list finished; /* freed when the step is done */
	int64_t last_step_us; /* the last step, to notice a pause */
	int64_t stale_since_us; /* end of a pause, until there is fresh news; or
				   0 */
	unsigned open_count;
	uint64_t last_attempt_id;
	struct path_counters counters;
};

/* After a pause nothing is sent until news that is younger has come. */
#define PATH_PAUSE_MIN_US (1 * US_PER_S)
#define PATH_STALE_MAX_US (2 * US_PER_S) /* or nobody can tell any more */

/* A step's arguments, handed down. */
struct path_ctx {
	struct path *p;
	const struct view *v;
	struct effects *fx;
};

/* How a request ends. */
struct path_result {
	enum outcome outcome;
	int status;
	const char *reason; /* static; NULL for OUTCOME_ANSWERED */
	int retry_after_ms;
	struct answer *answer; /* borrowed; NULL: none */
};

/*
 * path_flow.c: from arrival to the one answer.  "left_ms" is what a daemon
 * that spills leaves of the deadline; 0 for a caller's own request.
 */
void path_receive(const struct path_ctx *x, const struct path_origin *origin,
    struct request *m, int64_t left_ms);
void path_caller_gone(
    const struct path_ctx *x, const struct path_origin *origin);
/* Answers and frees "r", wherever it stands. */
void path_finish(const struct path_ctx *x, struct path_request *r,
    const struct path_result *end);
/* Not run, or unknown where an earlier attempt may have run. */
void path_fail(const struct path_ctx *x, struct path_request *r, int status,
    const char *reason, int retry_after_ms);
void path_expire_overdue(const struct path_ctx *x);
/* Frees what has ended; the last thing of a step. */
void path_free_finished(struct path *p);
struct path_request *path_find(
    const struct path *p, const struct path_origin *origin);
int path_retry_after_ms(const struct path_ctx *x, const struct path_service *s,
    enum text_class_id class, const char *member);

/* path_dispatch.c: from the queues to upstreams */
void path_dispatch(const struct path_ctx *x);

/* path_attempt.c: attempts at upstreams */
/* Takes a slot and sends. */
void path_attempt_start(
    const struct path_ctx *x, struct path_request *r, struct upstream *u);
/* The request no longer waits for its claim. */
void path_leave_claiming(struct path_request *r);
/* The claim has been won: goes to its queue. */
void path_claim_won(const struct path_ctx *x, struct path_request *r);
/* Frees the slot of a request that has no attempt in flight. */
void path_release_slot(const struct path_ctx *x, struct path_request *r);
void path_attempt_answered(
    const struct path_ctx *x, uint64_t id, struct answer *a);
void path_attempt_failed(
    const struct path_ctx *x, uint64_t id, enum attempt_failure failure);
/* Puts requests whose back-off has ended back into their queues. */
void path_end_backoffs(const struct path_ctx *x);
/* Closes the attempt in flight, if any, and frees its slot. */
void path_attempt_cancel(const struct path_ctx *x, struct path_request *r);

#endif
