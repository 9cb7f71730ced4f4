/* Attempts at upstreams: one HTTP call for each EFFECT_ATTEMPT. */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "buf.h"
#include "errors.h"
#include "shell.h"

struct upstreams *upstreams_new(struct shell *sh, struct err *e);
/* Cancels all attempts in flight. */
void upstreams_free(struct upstreams *us);
void upstreams_attempt(struct upstreams *us, const struct effect *x);
void upstreams_cancel(struct upstreams *us, uint64_t id);
void upstreams_metrics(const struct upstreams *us, struct buf *out);

#endif
