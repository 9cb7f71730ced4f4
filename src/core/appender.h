/*
 * Appends records to the log.  At most one append per stream is in flight, so
 * that readers can drop duplicates by the highest sequence number of each
 * incarnation.  An append that fails or whose outcome is unknown is
 * retransmitted with the same id until it is known to be done.
 */
#ifndef APPENDER_H
#define APPENDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "effect.h"
#include "event.h"
#include "record.h"
#include "view.h"

struct appender;

struct appender *appender_new(void);
void appender_free(struct appender *a);

/*
 * Queues a record body and takes over the reference, also on failure.  Returns
 * the sequence number of its record id, or 0 if the stream's queue is full or
 * "body" is NULL.
 */
uint64_t appender_push(
    struct appender *a, enum stream s, unsigned kind, struct buf *body);
/*
 * Number of records queued or in flight.  Callers that batch their records
 * push the next batch when it is 0.
 */
size_t appender_pending(const struct appender *a, enum stream s);
/* True once the record with this sequence number is known to be in the log. */
bool appender_is_done(const struct appender *a, enum stream s, uint64_t seq);

/* Offset of the last record that is known to be in the log. */
uint64_t appender_last_done_offset(const struct appender *a, enum stream s);

/*
 * Handles EVENT_APPEND_RESULT and EVENT_LOG_BATCH.  On every event, sends the
 * next append of each stream whose retry delay has elapsed.
 */
void appender_step(struct appender *a, const struct view *v,
    const struct event *ev, struct effects *fx);

struct json_object *appender_dump(const struct appender *a);
void appender_metrics(const struct appender *a, struct buf *out);

#endif
