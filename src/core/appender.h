/*
 * Appends to the log.  At most one append per stream is in flight, so that a
 * high-water sequence per incarnation is enough to drop repeats.  An append
 * whose outcome is unknown is repeated under the same id until it is known.
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
 * Queues one record body (takes over the reference).  Returns the sequence
 * that its record id will have, or 0 where the stream's queue is full.
 */
uint64_t appender_push(
    struct appender *a, enum stream s, unsigned kind, struct buf *body);
/* Records queued or in flight; push a batch when it is 0. */
size_t appender_pending(const struct appender *a, enum stream s);
/* True once the append with this sequence is known to be in the log. */
bool appender_is_done(const struct appender *a, enum stream s, uint64_t seq);

/* Offset of the last append that is known to be in the log. */
uint64_t appender_last_done_offset(const struct appender *a, enum stream s);

/* Handles EVENT_APPEND_RESULT; sends what is due on any event. */
void appender_step(struct appender *a, const struct view *v,
    const struct event *ev, struct effects *fx);

struct json_object *appender_dump(const struct appender *a);
void appender_metrics(const struct appender *a, struct buf *out);

#endif
