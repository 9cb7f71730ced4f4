/*
 * Records of a pool's topic, a key for each: a job's order, written once, its
 * progress, written whenever it changes, and a worker that may run tasks.
 */
#ifndef JOBS_JOB_RECORD_H
#define JOBS_JOB_RECORD_H

#include <stdbool.h>
#include <stddef.h>

#include "buf.h"
#include "errors.h"
#include "job.h"
#include "wire.h"

#define JOB_KEY_BYTES 48 /* any key of a pool's topic, with NUL */
/* All workers in one record, as earlier versions wrote them. */
#define KEY_WORKER_LIST "workers"

/* Key of a worker that may run tasks of the pool, for the next owner. */
void worker_record_key(char key[JOB_KEY_BYTES], const char *id);
bool worker_key_id(const char *key, char id[NAME_BYTES]);
void job_spec_key(char key[JOB_KEY_BYTES], const char *id);
void job_progress_key(char key[JOB_KEY_BYTES], const char *id);
/* Id in a key; false where it is neither of the two. */
bool job_key_id(const char *key, char id[JOB_ID_BYTES], bool *progress);

/* A queue's terms as one map, also between daemons. */
void queue_settings_write(
    struct wire_writer *w, const struct queue_settings *t);
bool queue_settings_read(const msgpack_object *map, struct queue_settings *t);

enum progress_detail {
	PROGRESS_FULL,
	PROGRESS_NO_CHECKPOINTS /* smaller: saved work is done again */
};

/* NULL when memory is short. */
struct buf *job_spec_encode(const struct job *j);
struct buf *job_progress_encode(
    const struct job *j, enum progress_detail detail);

/* What an order's record holds; "text" belongs to the record. */
struct job_spec_record {
	struct queue_settings queue;
	int64_t submitted_ms;
	const uint8_t *text;
	size_t text_len;
};

/*
 * Calls back with what was read, since the bytes do not outlive the call.
 * -1 with "e" filled where the record is damaged.
 */
int job_spec_decode(const void *data, size_t len, struct err *e,
    void (*found)(void *arg, const struct job_spec_record *r), void *arg);
/* Applies a progress record to a job that has none yet. */
int job_progress_decode(
    struct job *j, const void *data, size_t len, struct err *e);

#endif
