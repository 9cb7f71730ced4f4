/*
 * Records in the platform's store: the operators' configuration and maintenance
 * waves, and the entries of workers.
 */
#ifndef CONFIG_WIRE_H
#define CONFIG_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "account.h"
#include "account_wire.h"
#include "bounds.h"
#include "errors.h"
#include "queue_settings.h"
#include "worker.h"

/* A queue and the requests of callers that are routed to it. */
struct config_queue {
	struct queue_settings settings;
	char pool[NAME_BYTES]; /* its workers run the tasks */
	char *host;
	char *path_prefix;
	int request_timeout_ms; /* 0: not set */
	bool public_access; /* calls need no key, jobs have no account */
};

struct config_pool {
	char name[NAME_BYTES];
	bool admission_control; /* workers refuse tasks beyond capacity */
	bool spare; /* its machines are switched off */
};

/* An entry that cannot be used. */
struct config_fault {
	const char *list; /* the platform's name of the list */
	size_t index;
	char name[NAME_BYTES]; /* "": unknown */
	const char *why;
};

struct config {
	unsigned ref_count;
	int64_t version;
	struct config_queue *queues;
	size_t queue_count;
	struct config_pool *pools;
	size_t pool_count;
	size_t left_out_count; /* queues and pools that cannot be used */
	struct config_fault first_left_out;
	/* NULL: the configuration has none, and calls need no key. */
	struct account_table *accounts;
	struct account_faults account_faults;
};

/*
 * Parses the configuration; queues and pools that cannot be used are left out,
 * and counted.
 * Returns one reference, or NULL with "e" filled in.
 */
struct config *config_parse(const void *data, size_t len, struct err *e);
void config_unref(struct config *c);
/*
 * Gives accounts whose weight or cap is malformed the values of "before", the
 * configuration that is in force until now; NULL: none.
 */
void config_inherit_accounts(struct config *c, const struct config *before);
/*
 * Finds the queue of a request: of the queues of its host ("Host" header, with
 * or without a port), that with the longest prefix of the path.  NULL: none.
 */
const struct config_queue *config_find_queue(
    const struct config *c, const char *host, const char *path);

/* NULL when the configuration, or the pool in it, is missing. */
const struct config_pool *config_find_pool(
    const struct config *c, const char *name);
/* The pool's workers refuse tasks beyond capacity; false if it is unknown. */
bool config_pool_guarded(const struct config *c, const char *pool);

#define WAVE_MACHINES_MAX 4096

/* An operators' request for a maintenance wave. */
struct wave_request {
	int64_t wave_number;
	char (*machine_names)[NAME_BYTES];
	size_t machine_count;
	int within_ms; /* from the request to completion */
	int max_down; /* machines down at the same time */
};

/* -1 when the record is malformed or memory is short. */
int wave_request_parse(struct wave_request *w, const void *data, size_t len);
void wave_request_uninit(struct wave_request *w);

/*
 * "id" is the entry's key.  -1: the entry is malformed, or the worker is
 * neither ready nor draining.
 */
int worker_entry_parse(
    struct worker_report *r, const char *id, const void *data, size_t len);

/* Topics and keys of the operators' and the workers' records. */
#define TOPIC_OPERATORS "keyed.op"
#define TOPIC_WORKERS "keyed.servers"
#define TOPIC_STATUS "keyed.status"
#define KEY_CONFIG "config"
#define KEY_WAVE_PREFIX "wave/"

#endif
