/*
 * What workers save and policies issue, for the stand-in: texts that are drawn,
 * and compared with what comes back.
 */
#ifndef WORKER_TEXTS_H
#define WORKER_TEXTS_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

struct worker_texts;

/* A value that a task has saved. */
struct saved_value;

/* Texts of up to "max_bytes"; 0: short and plain ones. */
struct worker_texts *worker_texts_new(int max_bytes);
void worker_texts_free(struct worker_texts *t);
/* A new value of the task after so much work; it lives as long as "t". */
const struct saved_value *worker_texts_save(
    struct worker_texts *t, const char *task, int64_t work_ms);
/*
 * The value of the task, or with "any_member" of any task of its step, that is
 * the string to the last byte; NULL: there is none.
 */
const struct saved_value *worker_texts_find(const struct worker_texts *t,
    const char *task, struct json_object *string, bool any_member);
int64_t saved_value_work_ms(const struct saved_value *v);
/* A new reference; the value may be NULL. */
struct json_object *saved_value_json(const struct saved_value *v);
/* The ticket of a step, ID.K.STEP, for a worker, always the same. */
struct json_object *worker_texts_ticket(
    const struct worker_texts *t, const char *step, const char *worker);
bool worker_texts_same(struct json_object *a, struct json_object *b);

#endif
