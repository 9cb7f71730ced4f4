/*
 * The platform's append-only log: streams of records with offsets from 1,
 * kept for a limited count and age, appended at a limited rate.
 */
#ifndef STANDIN_LOG_H
#define STANDIN_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>
#include <uthash.h>

#include "bounds.h"

struct log_opts {
	size_t retention_records; /* of one stream; 0: no limit */
	int64_t retention_ms; /* 0: no limit */
	int append_rate; /* appends per second of all streams; 0: no limit */
};

struct log_record {
	char *data; /* base64, as it came */
	size_t len;
	int64_t time_ms;
};

struct log_stream {
	char name[NAME_BYTES];
	uint64_t base; /* offset of list[0] */
	size_t start; /* first retained index of list */
	size_t count; /* used entries of list */
	size_t cap;
	struct log_record *list;
	UT_hash_handle hh;
};

struct log {
	struct log_opts opts;
	struct log_stream *streams;
	int64_t tokens_milli; /* of the append rate */
	int64_t refilled_ms;
	uint64_t appends, refused, bytes; /* since the start */
};

void log_init(struct log *l, const struct log_opts *opts);
void log_uninit(struct log *l);

/* Returns NULL where the name is not one of letters, digits and '-'. */
struct log_stream *log_stream(struct log *l, const char *name);
/* Takes one append off the rate limit; false where none is left. */
bool log_admit(struct log *l, int64_t now_ms);
/* Returns the record's offset, or 0 where "data" is not base64. */
uint64_t log_append(
    struct log *l, struct log_stream *s, const char *data, int64_t now_ms);
/* Drops what is past the retention limits. */
void log_expire(struct log *l, struct log_stream *s, int64_t now_ms);
/* First retained offset; 0 while nothing has been dropped. */
uint64_t log_first(const struct log_stream *s);
/* Offset of the next record. */
uint64_t log_tail(const struct log_stream *s);
/* The answer of a read: at most "limit" records from offset "from". */
struct json_object *log_read(
    const struct log_stream *s, uint64_t from, size_t limit);
struct json_object *log_state(const struct log *l);

#endif
