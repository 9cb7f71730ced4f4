/*
 * The operators' configuration text, JSON with comments.  It is the only means
 * by which operators configure a deployment.  A parsed text is immutable and
 * reference-counted.  A text with any error is rejected as a whole.
 */
#ifndef TEXT_H
#define TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "errors.h"
#include "bounds.h"

#define TEXT_PPM 1000000 /* 1.0 of a share, in parts per million */

enum text_class_id {
	CLASS_QUICK,
	CLASS_BATCH,
	CLASS_COUNT
};
const char *text_class_name(enum text_class_id id); /* "quick", "batch" */

struct text_class {
	int deadline_ms; /* from arrival to the complete answer */
	int queue_limit; /* waiting requests per member and daemon */
	int reserved_slots; /* per worker, not available to the other class */
};

/* What happens to keyed requests while the log can't be reached. */
enum text_log_down {
	LOG_DOWN_REFUSE,
	LOG_DOWN_RUN
};

struct text_service {
	char name[NAME_BYTES];
	char path[NAME_BYTES]; /* path prefix, "/enrolment" */
	char pool[NAME_BYTES];
	char batch_path[NAME_BYTES]; /* path prefix of CLASS_BATCH; "" none */
	char **depends_on; /* names of services it calls */
	size_t depends_on_count;
	int availability_ppm; /* share of its VMs that must stay available */
	int slots; /* concurrent requests per worker */
	int connections; /* connections per worker */
	int attempt_timeout_ms;
	int retry_budget_ppm; /* retries per first attempt */
	int key_ttl_s; /* retention of an Idempotency-Key */
	bool idempotent; /* every request may be repeated */
	enum text_log_down when_log_down;
	struct text_class classes[CLASS_COUNT];
};

struct text_pool {
	char name[NAME_BYTES];
	bool spare; /* VMs held in reserve; runs no service */
	/*
	 * Computed by the parser: the strictest availability among the services
	 * on this pool and all services that depend on them.
	 */
	int availability_ppm;
};

struct text_data_centre {
	char name[NAME_BYTES];
	char region[NAME_BYTES];
};

/* A member's limits for its tasks; 0 forbids a resource. */
struct text_quota {
	int64_t cores;
	int64_t memory_mb;
	int64_t accelerators;
};

struct text_member {
	char name[NAME_BYTES];
	int weight; /* in deficit round robin, 1 to 1000 */
	struct text_quota quota;
};

/* What identifies the member of a request. */
enum text_member_by {
	MEMBER_BY_HEADER,
	MEMBER_BY_PATH, /* first segment */
	MEMBER_BY_HOST /* first label */
};

/* Maintenance waves. */
struct text_maintenance {
	bool enabled; /* waves are opened automatically */
	int every_days; /* interval between two maintenances of a VM */
	int canary; /* VMs in the first batch of a wave */
	int growth; /* growth factor from batch to batch */
	int max_batch; /* VMs in the largest batch */
	int soak_s; /* service time of returned VMs before the next batch */
	int max_failures; /* failures that stop a wave */
	int64_t resume; /* operators raise it to resume stopped waves */
};

/* Weights in the planner's score. */
struct text_measures {
	int buffer_cost; /* idle capacity in reserve */
	int rollout_time; /* duration of moves and maintenance */
	int vm_moves; /* number of VM moves */
};

struct text_tasks {
	char pool[NAME_BYTES]; /* pool that runs tasks; "" none */
	int lease_s; /* time that a worker runs a task without a renewal */
	bool preempt; /* urgent tasks may make lower ones yield */
	int quarantine_failures; /* consecutive failures of a worker */
};

struct text {
	unsigned ref_count;
	char deployment[NAME_BYTES];
	struct text_data_centre *data_centres;
	size_t data_centre_count;
	struct text_pool *pools;
	size_t pool_count;
	struct text_service *services;
	size_t service_count;
	struct text_member *members;
	size_t member_count;
	enum text_member_by member_by;
	char member_header[NAME_BYTES]; /* for MEMBER_BY_HEADER */
	struct text_measures measures;
	struct text_maintenance maintenance;
	struct text_tasks tasks;
	char **leaving; /* names of VMs to take out of service */
	size_t leaving_count;
	char *source; /* the published bytes, NUL-terminated */
	size_t source_len;
};

/*
 * The errors of a text, sorted by line, then by message.  fold_config.c stores
 * the message of the first one in the replicated state: a change of a message
 * or its order changes the state's bytes.  Remedies are not stored.
 */
struct text_errors {
	struct err *list;
	size_t count;
};

/*
 * Parses and checks a text.  Returns a reference that the caller owns, or NULL
 * with at least one entry in "errors", which may be NULL.  Deterministic: equal
 * bytes give equal results on every daemon.
 */
struct text *text_parse(
    const char *source, size_t len, struct text_errors *errors);
void text_errors_uninit(struct text_errors *errors);
struct text *text_ref(struct text *t);
void text_unref(struct text *t);

/* These look up by name and return NULL if there is no such entry. */
const struct text_service *text_service(const struct text *t, const char *name);
const struct text_pool *text_pool(const struct text *t, const char *name);
const struct text_member *text_member(const struct text *t, const char *name);
/*
 * Returns the service with the longest path prefix that matches at a '/'
 * boundary, or NULL.
 */
const struct text_service *text_service_for_path(
    const struct text *t, const char *path);

#endif
