/*
 * The operators' configuration and waves of upkeep, and the workers' entries,
 * as they lie in the platform's store.
 */
#ifndef CONFIG_WIRE_H
#define CONFIG_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "errors.h"
#include "queue.h"
#include "worker.h"

#define PATH_PREFIX_BYTES 256
#define HOST_BYTES 256

/* A queue and the callers' requests that belong to it. */
struct config_queue {
	struct queue_terms settings;
	char pool[NAME_BYTES]; /* whose workers run its tasks */
	char host[HOST_BYTES];
	char path_prefix[PATH_PREFIX_BYTES];
	int request_timeout_ms; /* of a request */
};

struct config_pool {
	char name[NAME_BYTES];
	bool admission_control; /* workers refuse what does not fit */
	bool spare; /* its machines are off */
};

struct config {
	unsigned ref_count;
	int64_t version;
	struct config_queue *queues;
	size_t queue_count;
	struct config_pool *pools;
	size_t pool_count;
};

struct config *config_parse(const void *data, size_t len, struct err *e);
void config_unref(struct config *c);
/*
 * The queue of a request: the longest prefix that its path begins with, among
 * those of its host ("Host" header, with or without a port).  NULL: none.
 */
const struct config_queue *config_find_queue(
    const struct config *c, const char *host, const char *path);

#define WAVE_MACHINES_MAX 4096

struct wave_request {
	int64_t wave_number;
	char (*machine_names)[NAME_BYTES];
	size_t machine_count;
	int within_ms;
	int max_down; /* machines down at once */
};

int wave_request_parse(struct wave_request *w, const void *data, size_t len);
void wave_request_uninit(struct wave_request *w);

/* "id" is the key of the entry.  -1: the entry names no worker to use. */
int worker_entry_parse(
    struct worker_report *r, const char *id, const void *data, size_t len);

/* Keys in the operators' and the workers' topics. */
#define TOPIC_OPERATORS "keyed.op"
#define TOPIC_WORKERS "keyed.servers"
#define TOPIC_STATUS "keyed.status"
#define KEY_CONFIG "config"
#define KEY_WAVE_PREFIX "wave/"

#endif
