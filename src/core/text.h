/*
 * The operators' text: the one thing by which operators steer mimosalead.
 * JSON with comments.  A parsed text is immutable and reference-counted;
 * nothing of a text with an error is ever used.
 */
#ifndef TEXT_H
#define TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "errors.h"
#include "bounds.h"

#define TEXT_PPM 1000000 /* shares are held in parts per million */

enum text_class_id {
	CLASS_QUICK,
	CLASS_BATCH,
	CLASS_COUNT
};
const char *text_class_name(enum text_class_id id); /* "quick", "batch" */

struct text_class {
	int deadline_ms; /* from arrival to the whole answer */
	int queue_limit; /* waiting requests of one member at one daemon */
	int reserved_slots; /* slots of each worker kept from the others */
};

enum text_log_down {
	LOG_DOWN_REFUSE,
	LOG_DOWN_RUN
};

struct text_service {
	char name[NAME_BYTES];
	char path[NAME_BYTES]; /* path prefix, "/enrolment" */
	char pool[NAME_BYTES];
	char batch_path[NAME_BYTES]; /* prefix of batch requests, "" none */
	char **depends_on; /* names of services */
	size_t depends_on_count;
	int availability_ppm; /* share of its VMs that must stay available */
	int slots; /* concurrent requests of one worker */
	int connections; /* connections of one worker */
	int attempt_timeout_ms;
	int retry_budget_ppm; /* retries per fresh request */
	int key_ttl_s; /* how long an Idempotency-Key is remembered */
	bool idempotent; /* true: every request may be repeated */
	enum text_log_down when_log_down;
	struct text_class classes[CLASS_COUNT];
};

struct text_pool {
	char name[NAME_BYTES];
	bool spare;
	/*
	 * Worked out by the parser: the strictest availability of all
	 * services on this pool and of all that depend on them.
	 */
	int availability_ppm;
};

struct text_data_centre {
	char name[NAME_BYTES];
	char region[NAME_BYTES];
};

/* A member's limits for tasks; 0 of a resource means none may be used. */
struct text_quota {
	int64_t cores;
	int64_t memory_mb;
	int64_t accelerators;
};

struct text_member {
	char name[NAME_BYTES];
	int weight; /* share in deficit round robin, 1 to 1000 */
	struct text_quota quota;
};

enum text_member_by {
	MEMBER_BY_HEADER,
	MEMBER_BY_PATH,
	MEMBER_BY_HOST
};

struct text_maintenance {
	bool enabled;
	int every_days; /* each VM once in this many days */
	int canary; /* VMs in the first batch of a wave */
	int growth; /* factor from batch to batch */
	int max_batch;
	int soak_s; /* returned VMs serve this long before the next batch */
	int max_failures; /* failures in a wave that stop it */
	int64_t resume; /* raised by operators to resume stopped waves */
};

/* Weights of the users' three measures in the planner's score. */
struct text_measures {
	int buffer_cost;
	int rollout_time;
	int vm_moves;
};

struct text_tasks {
	char pool[NAME_BYTES]; /* pool that runs tasks, "" none */
	int lease_s;
	bool preempt; /* urgent tasks may stop lower ones */
	int quarantine_failures; /* failures in a row of one worker */
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
	char **leaving; /* VMs that operators take out of service */
	size_t leaving_count;
	char *source; /* the text as published, NUL-terminated */
	size_t source_len;
};

/* All errors of one text, in order of their lines. */
struct text_errors {
	struct err *list;
	size_t count;
};

/*
 * Parses and checks a whole text.  Returns one reference, or NULL with at
 * least one entry in "errors" (which may be NULL).  Pure: same bytes, same
 * result.
 */
struct text *text_parse(
    const char *source, size_t len, struct text_errors *errors);
void text_errors_uninit(struct text_errors *errors);
struct text *text_ref(struct text *t);
void text_unref(struct text *t);

/* Lookups by name; NULL where nothing has it. */
const struct text_service *text_service(const struct text *t, const char *name);
const struct text_pool *text_pool(const struct text *t, const char *name);
const struct text_member *text_member(const struct text *t, const char *name);
/* Service whose path prefix matches longest, at a '/' boundary. */
const struct text_service *text_service_for_path(
    const struct text *t, const char *path);

#endif
