/*
 * Records of a pool's topic.  Each has its own key: a job's specification,
 * written once; a job's progress, written on each change; and a worker that
 * may run tasks.
 */
#ifndef JOBS_JOB_RECORD_H
#define JOBS_JOB_RECORD_H

#include <stdbool.h>
#include <stddef.h>

#include "buf.h"
#include "cap_share.h"
#include "errors.h"
#include "job.h"
#include "wire.h"

#define JOB_KEY_BYTES 48 /* any key of a pool's topic, with NUL */
/* Key of one record with all workers, as earlier versions wrote it. */
#define KEY_WORKER_LIST "workers"

/* Prefix of the key of the pool's share of an account's cap. */
#define KEY_SHARE_PREFIX "a/"
/* Key of the fence of the newest controller that has proposed shares. */
#define KEY_CAP_CONTROLLER "capctl"

/* Key of a worker that may run tasks of the pool, for the next owner. */
void worker_record_key(char key[JOB_KEY_BYTES], const char *id);
/* Id in the key of a worker's record; false if the key is another one. */
bool worker_key_id(const char *key, char id[NAME_BYTES]);
void job_spec_key(char key[JOB_KEY_BYTES], const char *id);
void job_progress_key(char key[JOB_KEY_BYTES], const char *id);
/* Id in a specification's or progress key; false if the key is neither. */
bool job_key_id(const char *key, char id[JOB_ID_BYTES], bool *progress);

void share_record_key(char key[JOB_KEY_BYTES], const char *account);
/* Account in the key of a share; false if the key is another one. */
bool share_key_account(const char *key, char account[NAME_BYTES]);
/* NULL when out of memory. */
struct buf *share_record_encode(const struct cap_share *s);
/* Returns -1 and fills "e" if the record is damaged. */
int share_record_decode(
    struct cap_share *s, const void *data, size_t len, struct err *e);
struct buf *cap_controller_encode(int64_t fence);
int cap_controller_decode(
    int64_t *fence, const void *data, size_t len, struct err *e);

/* A queue's settings as one map; daemons exchange it, too. */
void queue_settings_write(
    struct wire_writer *w, const struct queue_settings *q);
bool queue_settings_read(const msgpack_object *map, struct queue_settings *q);

/* How a progress record is encoded, and what came of it. */
struct progress_encoding {
	size_t max_bytes; /* of the record, as far as checkpoints go; 0: any */
	/* After a takeover, their tasks start without them. */
	size_t checkpoints_left_out;
};

/*
 * Part of a record that checkpoints may take, so that the progress of a job
 * with long ones, which is written again and again, delays no other write.
 * "record_max_bytes" 0: any size.
 */
size_t progress_checkpoints_max_bytes(size_t record_max_bytes);

/* "text" is the job as submitted.  NULL when out of memory. */
struct buf *job_spec_encode(const struct job *j, const struct buf *text);
/* Leaves out the longest checkpoints of those that do not fit together. */
struct buf *job_progress_encode(
    const struct job *j, struct progress_encoding *e);

/* Content of a specification's record; the record owns "text". */
struct job_spec_record {
	struct queue_settings queue;
	char account[NAME_BYTES]; /* "": none */
	int64_t submitted_ms;
	const uint8_t *text;
	size_t text_len;
};

/*
 * Passes the content to "found", as its bytes are valid during the call only.
 * Returns -1 and fills "e" if the record is damaged.
 */
int job_spec_decode(const void *data, size_t len, struct err *e,
    void (*found)(void *arg, const struct job_spec_record *r), void *arg);
/*
 * Applies a progress record to a job that has none yet.  Returns -1 and fills
 * "e" if the record is damaged.
 */
int job_progress_decode(
    struct job *j, const void *data, size_t len, struct err *e);

#endif
