/*
 * The platform's store as an HTTP service: paths, bodies and answers.  Topics
 * are logs cut into partitions; ours have one partition each, number 0, and
 * keep the newest record of each key for good.
 */
#ifndef STORE_WIRE_H
#define STORE_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "buf.h"
#include "errors.h"

#define STORE_PATH_BYTES 512
#define STORE_KEY_MAX_BYTES 255 /* bytes of a key */
#define MEMBER_BYTES 96
#define TOPIC_BYTES (NAME_BYTES + 16)

struct store_call {
	const char *method;
	char topic_or_group[TOPIC_BYTES]; /* or group, that it is about */
	char path[STORE_PATH_BYTES];
	struct buf *body; /* NULL: none */
};

void store_call_uninit(struct store_call *c);

/* Topic that keeps the jobs of a pool. */
void store_jobs_topic(char *out, size_t size, const char *pool);

struct store_append_opts {
	const char *topic;
	int64_t expected_end; /* only if the topic ends here; -1: anywhere */
	int64_t epoch; /* of the writer; -1: none */
	int64_t seq; /* of this append within the epoch */
	struct buf *records; /* framed by store_record_add() */
};

/* "value" NULL drops the key.  -1 when memory is short. */
int store_record_add(
    struct buf *b, const char *key, const void *value, size_t len);
void store_append_call(struct store_call *c, const struct store_append_opts *o);
void store_read_call(
    struct store_call *c, const char *topic, int64_t from, int wait_ms);
/* "after": last key of the page before, or NULL. */
void store_newest_call(
    struct store_call *c, const char *topic, const char *after);

struct store_join_opts {
	const char *group;
	const char *member;
	const char (*topics)[TOPIC_BYTES];
	size_t topic_count;
	int ttl_ms;
	int64_t generation; /* of the last answer; 0 */
};

void store_join_call(struct store_call *c, const struct store_join_opts *o);
void store_leave_call(
    struct store_call *c, const char *group, const char *member);
void store_owners_call(struct store_call *c, const char *group);

/* What an answer says of a write. */
enum store_outcome {
	STORE_DONE,
	STORE_NOT_DONE, /* nothing was changed; may be tried again */
	STORE_FENCED, /* a later writer has taken over */
	STORE_OUT_OF_SEQUENCE, /* its number does not follow the last one */
	STORE_END_MISMATCH, /* the topic does not end where it was expected */
	STORE_FULL, /* no room in the store */
	STORE_MALFORMED, /* the bytes are wrong or too many: final */
	STORE_UNKNOWN
};

enum store_outcome store_append_outcome(
    int status, const void *body, size_t len);

struct store_record {
	char key[STORE_KEY_MAX_BYTES + 1];
	const uint8_t *value; /* NULL: the key was dropped */
	size_t value_len;
	int64_t offset;
};

/*
 * Walks the records of a read's answer.  Returns the number of records that
 * could not be decoded, or -1 where the answer itself cannot be.
 */
int store_read_each(const void *body, size_t len, int64_t from, int64_t *next,
    void (*each)(void *arg, const struct store_record *r), void *arg);

struct store_page {
	bool has_more; /* continue after "last_key" */
	char last_key[STORE_KEY_MAX_BYTES + 1];
	int64_t end_offset; /* offset behind the last record */
};

/* The same for a page of newest records. */
int store_newest_each(const void *body, size_t len, struct store_page *page,
    void (*each)(void *arg, const struct store_record *r), void *arg);

struct store_assignment {
	char topic[TOPIC_BYTES];
	int partition;
	char member[MEMBER_BYTES]; /* empty: nobody */
};

struct store_assignments {
	int64_t generation;
	struct store_assignment *list;
	size_t count;
};

/* Topics that the member holds, from the answer to a join. */
int store_join_parse(struct store_assignments *s, const void *body, size_t len);
/* Holders of all topics of a group. */
int store_owners_parse(
    struct store_assignments *s, const void *body, size_t len);
void store_assignments_uninit(struct store_assignments *s);

#endif
