/*
 * HTTP requests to the platform's store and its responses.  Topics are logs cut
 * into partitions.  Those used here have only partition 0 and keep the newest
 * record of each key forever.
 */
#ifndef STORE_WIRE_H
#define STORE_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bounds.h"
#include "buf.h"
#include "errors.h"

#define STORE_KEY_MAX_BYTES 255 /* without NUL */
/* Holds the longest key, percent-encoded. */
#define STORE_PATH_BYTES (3 * STORE_KEY_MAX_BYTES + 259)
#define MEMBER_BYTES 96
#define TOPIC_BYTES (NAME_BYTES + 16)

/* An HTTP request to the store; owns a reference to its body. */
struct store_call {
	const char *method;
	char topic_or_group[TOPIC_BYTES]; /* subject of the call */
	char path[STORE_PATH_BYTES];
	struct buf *body; /* NULL: none */
};

void store_call_uninit(struct store_call *c);

/* Name of the topic with the jobs of a pool. */
void store_jobs_topic(char *out, size_t size, const char *pool);

struct store_append_opts {
	const char *topic;
	int64_t expected_end; /* fails at another end; -1: any end */
	int64_t epoch; /* of the writer; -1: unfenced append */
	int64_t seq; /* of this append within the epoch */
	struct buf *records; /* framed by store_record_add() */
};

/*
 * Appends a framed record; "value" NULL deletes the key.  -1 when memory is
 * short or the key is empty or too long.
 */
int store_record_add(
    struct buf *b, const char *key, const void *value, size_t len);
void store_append_call(struct store_call *c, const struct store_append_opts *o);
void store_read_call(
    struct store_call *c, const char *topic, int64_t from, int wait_ms);
/* "after": last key of the previous page; NULL for the first page. */
void store_newest_call(
    struct store_call *c, const char *topic, const char *after);

struct store_join_opts {
	const char *group;
	const char *member;
	const char (*topics)[TOPIC_BYTES];
	size_t topic_count;
	int ttl_ms;
	int64_t generation; /* of the last response; 0: none yet */
};

void store_join_call(struct store_call *c, const struct store_join_opts *o);
void store_leave_call(
    struct store_call *c, const char *group, const char *member);
void store_owners_call(struct store_call *c, const char *group);

/* Result of an append. */
enum store_outcome {
	STORE_DONE,
	STORE_NOT_DONE, /* nothing was written; can be repeated */
	STORE_FENCED, /* a later writer has taken over */
	STORE_OUT_OF_SEQUENCE, /* "seq" does not follow the last one */
	STORE_END_MISMATCH, /* not at "expected_end" */
	STORE_FULL, /* the store has no space left */
	STORE_MALFORMED, /* malformed or too large; never succeeds */
	STORE_UNKNOWN /* possibly written */
};

enum store_outcome store_append_outcome(
    int status, const void *body, size_t len);

struct store_record {
	char key[STORE_KEY_MAX_BYTES + 1];
	const uint8_t *value; /* NULL: the key is deleted */
	size_t value_len;
	int64_t offset;
};

/*
 * Calls "each" for the records in the response to a read that began at offset
 * "from", and sets "next" to the offset after the last one.  The record is
 * valid during the call only.  Returns the number of malformed records, which
 * are left out, or -1 when the response itself is malformed: "next" is then
 * after the last record before the malformed part.  A topic that ends before
 * "from" counts as malformed.
 */
int store_read_each(const void *body, size_t len, int64_t from, int64_t *next,
    void (*each)(void *arg, const struct store_record *r), void *arg);

/* Offset after the topic's last record, as the response says; -1: malformed. */
int64_t store_read_end(const void *body, size_t len);

struct store_page {
	bool has_more; /* the next page begins after "last_key" */
	/* Last one that could be read; "" if none could. */
	char last_key[STORE_KEY_MAX_BYTES + 1];
	int64_t end_offset; /* offset after the topic's last record */
};

/* As store_read_each(), for a page of the newest record of each key. */
int store_newest_each(const void *body, size_t len, struct store_page *page,
    void (*each)(void *arg, const struct store_record *r), void *arg);

/* The group assigns each topic partition to one member. */
struct store_assignment {
	char topic[TOPIC_BYTES];
	int partition;
	char member[MEMBER_BYTES]; /* "": none */
};

struct store_assignments {
	int64_t generation;
	struct store_assignment *list;
	size_t count;
};

/*
 * Both parsers leave malformed rows out.  They return -1 when the response
 * itself is malformed or memory is short.
 */
/* Own assignments, from the response to a join; without member names. */
int store_join_parse(struct store_assignments *s, const void *body, size_t len);
/* All assignments of a group. */
int store_owners_parse(
    struct store_assignments *s, const void *body, size_t len);
void store_assignments_uninit(struct store_assignments *s);

#endif
