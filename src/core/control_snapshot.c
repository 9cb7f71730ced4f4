/*
 * Writes snapshots: the parts go to a stream of their own, a record of the
 * control stream points to them.  The daemon with the duty in the first data
 * centre does it; the others stand in after a while.
 */
#include <string.h>

#include "control_state.h"

#define SNAPSHOT_RECORDS UINT64_C(2048) /* where nothing was cut yet */
#define SNAPSHOT_RECORDS_MIN UINT64_C(16)
#define SNAPSHOT_SHARE 4 /* one for each such part of what is retained */
#define SNAPSHOT_AGE_US (600 * US_PER_S) /* least, until a cut was seen */
#define SNAPSHOT_AGE_MIN_US (60 * US_PER_S)
#define RETENTION_SAMPLE_US (60 * US_PER_S)
#define SNAPSHOT_STAND_IN_US (10 * US_PER_S) /* for each centre before us */
#define SNAPSHOT_PENDING_MAX 64 /* appends that may be queued at once */

/* Data centres with daemons on record whose name is before ours. */
static unsigned
snapshot_rank(const struct view *v)
{
	const struct fold_daemon *d, *e;
	unsigned rank = 0;

	for (d = fold_daemons(v->fold); d != NULL; d = d->hh.next) {
		if (strcmp(d->data_centre, v->data_centre) >= 0)
			continue;
		for (e = fold_daemons(v->fold); e != d; e = e->hh.next)
			if (strcmp(e->data_centre, d->data_centre) == 0)
				break;
		rank += e == d;
	}
	return rank;
}

static bool
snapshot_needed(const struct control *c, const struct view *v)
{
	const struct fold_snapshot *s = fold_snapshot(v->fold);
	uint64_t next = fold_next(v->fold), limit = SNAPSHOT_RECORDS;

	if (c->first_retained > 0) {
		limit = (next - c->first_retained) / SNAPSHOT_SHARE;
		if (limit < SNAPSHOT_RECORDS_MIN)
			limit = SNAPSHOT_RECORDS_MIN;
		if (s->next < c->first_retained)
			return true;
	}
	return next - s->next >= limit;
}

static void
retention_sample(struct retention *r, uint64_t next, int64_t now_us)
{
	unsigned i = r->count % RETENTION_SAMPLES;

	r->samples[i].next = next;
	r->samples[i].us = now_us;
	r->count++;
}

/* The oldest sample that is not cut yet tells how long records are kept. */
static void
retention_observe(struct retention *r, uint64_t first, int64_t now_us)
{
	unsigned back, i;

	back = r->count < RETENTION_SAMPLES ? r->count : RETENTION_SAMPLES;
	for (; back > 0; back--) {
		i = (r->count - back) % RETENTION_SAMPLES;
		if (r->samples[i].next > first)
			break;
		r->cut = true;
	}
	if (back > 0)
		r->kept_us = now_us - r->samples[i].us;
}

static void
control_retention_step(struct control *c, const struct view *v)
{
	struct retention *r = &c->retention;

	if (!v->ready || c->log_down ||
	    (r->count > 0 && v->now_us - r->sampled_us < RETENTION_SAMPLE_US))
		return;
	r->sampled_us = v->now_us;
	retention_sample(r, fold_next(v->fold), v->now_us);
	retention_observe(r, c->first_retained, v->now_us);
}

/* Age at which a snapshot is rewritten although little was appended. */
static int64_t
snapshot_age_limit(const struct control *c)
{
	const struct retention *r = &c->retention;
	int64_t least = r->cut ? SNAPSHOT_AGE_MIN_US : SNAPSHOT_AGE_US;
	int64_t share = r->kept_us / SNAPSHOT_SHARE;

	return share > least ? share : least;
}

static bool
snapshot_old(const struct control *c, const struct view *v)
{
	const struct fold_snapshot *s = fold_snapshot(v->fold);

	return c->first_retained > 0 && s->next != 0 &&
	    v->now_us - c->snapshot_seen_us >= snapshot_age_limit(c);
}

static void
snapshot_begin(struct control *c, const struct view *v)
{
	struct snapshot_writer *sw = &c->writer;
	struct buf *state = fold_encode(v->fold);
	struct wire_writer w;
	const uint8_t *part;
	uint32_t i, count;
	uint64_t seq;
	size_t len;

	memset(&sw->head, 0, sizeof(sw->head));
	snapshot_head_of(&sw->head, v->fold, state);
	count = snapshot_count(state->len);
	if (count > SNAPSHOT_PENDING_MAX)
		count = 0;
	sw->writing = count > 0;
	sw->at = 0;
	sw->first_seq = 0;
	for (i = 0; i < count; i++) {
		part = snapshot_part(state, i, &len);
		wire_writer_init(&w);
		wire_map(&w, 3);
		wire_u64(&w, "nx", sw->head.next);
		wire_u64(&w, "i", i);
		wire_bin(&w, "b", part, len);
		seq = appender_push(v->appender, STREAM_SNAPSHOT,
		    RECORD_SNAPSHOT, wire_writer_take(&w));
		if (i == 0)
			sw->first_seq = seq;
		sw->last_seq = seq;
	}
	buf_unref(state);
}

static void
snapshot_point(struct control *c, const struct view *v)
{
	struct snapshot_writer *sw = &c->writer;
	struct wire_writer w;

	sw->writing = false;
	sw->written++;
	wire_writer_init(&w);
	wire_map(&w, 4);
	wire_u64(&w, "nx", sw->head.next);
	wire_u64(&w, "at", sw->at);
	wire_u64(&w, "len", sw->head.len);
	wire_u64(&w, "h", sw->head.hash);
	control_propose(c, v, RECORD_SNAPSHOT, wire_writer_take(&w));
}

static void
snapshot_continue(struct control *c, const struct view *v)
{
	struct snapshot_writer *sw = &c->writer;

	if (sw->at == 0 &&
	    appender_done(v->appender, STREAM_SNAPSHOT, sw->first_seq))
		sw->at = appender_done_offset(v->appender, STREAM_SNAPSHOT);
	if (appender_done(v->appender, STREAM_SNAPSHOT, sw->last_seq))
		snapshot_point(c, v);
}

void
control_snapshot_step(struct control *c, const struct view *v)
{
	if (c->snapshot_seen != fold_snapshot(v->fold)->offset) {
		c->snapshot_seen = fold_snapshot(v->fold)->offset;
		c->snapshot_seen_us = v->now_us;
	}
	control_retention_step(c, v);
	if (c->writer.writing)
		snapshot_continue(c, v);
}

void
control_snapshot_tick(struct control *c, const struct view *v)
{
	struct snapshot_writer *sw = &c->writer;

	if (sw->writing || !control_may_act(c, v) || !control_settled(v) ||
	    !peers_is_responsible(v->peers, v, "snapshot") ||
	    (!snapshot_needed(c, v) && !snapshot_old(c, v))) {
		sw->due_us = 0;
		return;
	}
	if (sw->due_us == 0)
		sw->due_us = v->now_us;
	if (v->now_us - sw->due_us >=
	    SNAPSHOT_STAND_IN_US * (int64_t)snapshot_rank(v))
		snapshot_begin(c, v);
}
