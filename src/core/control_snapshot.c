/*
 * Writes snapshots: the parts go to the snapshot stream, and a record of the
 * control stream points to them.  The responsible daemon of the first data
 * centre writes them; those of the other data centres are standbys that step
 * in after a delay.
 */
#include <string.h>

#include "control_state.h"

/* Records between snapshots while the log has never been truncated. */
#define SNAPSHOT_RECORDS_DEFAULT UINT64_C(2048)
#define SNAPSHOT_RECORDS_MIN UINT64_C(16)
/* Snapshots per retention period, in records and in time. */
#define SNAPSHOT_RETENTION_DIVISOR 4
/* Minimum age for a rewrite until the log is seen truncated. */
#define SNAPSHOT_AGE_DEFAULT_US (600 * US_PER_S)
#define SNAPSHOT_AGE_MIN_US (60 * US_PER_S) /* thereafter */
#define RETENTION_SAMPLE_INTERVAL_US (60 * US_PER_S)
/* Delay per data centre that ranks before ours. */
#define SNAPSHOT_STANDBY_DELAY_US (10 * US_PER_S)
#define SNAPSHOT_PENDING_MAX 64 /* appends that may be queued at once */

/*
 * Number of data centres with daemons on record whose name sorts before ours.
 */
static unsigned
data_centre_rank(const struct view *v)
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
snapshot_due_by_records(const struct control *c, const struct view *v)
{
	const struct fold_snapshot *s = fold_snapshot(v->fold);
	uint64_t next = fold_next(v->fold), limit = SNAPSHOT_RECORDS_DEFAULT;

	if (c->first_retained_offset > 0) {
		limit = (next - c->first_retained_offset) /
		    SNAPSHOT_RETENTION_DIVISOR;
		if (limit < SNAPSHOT_RECORDS_MIN)
			limit = SNAPSHOT_RECORDS_MIN;
		if (s->next < c->first_retained_offset)
			return true;
	}
	return next - s->next >= limit;
}

static void
retention_add_sample(struct retention *r, uint64_t next, int64_t now_us)
{
	unsigned i = r->sample_count % RETENTION_SAMPLES;

	r->samples[i].next = next;
	r->samples[i].us = now_us;
	r->sample_count++;
}

/*
 * The age of the oldest sample that the log still retains is a lower bound of
 * the retention time.
 */
static void
retention_update(struct retention *r, uint64_t first, int64_t now_us)
{
	unsigned back, i;

	back = r->sample_count < RETENTION_SAMPLES ? r->sample_count
						   : RETENTION_SAMPLES;
	for (; back > 0; back--) {
		i = (r->sample_count - back) % RETENTION_SAMPLES;
		if (r->samples[i].next > first)
			break;
		r->truncated = true;
	}
	if (back > 0)
		r->retained_us = now_us - r->samples[i].us;
}

static void
control_retention_step(struct control *c, const struct view *v)
{
	struct retention *r = &c->retention;

	if (!v->ready || c->log_down ||
	    (r->sample_count > 0 &&
		v->now_us - r->last_sample_us < RETENTION_SAMPLE_INTERVAL_US))
		return;
	r->last_sample_us = v->now_us;
	retention_add_sample(r, fold_next(v->fold), v->now_us);
	retention_update(r, c->first_retained_offset, v->now_us);
}

/*
 * Age at which a snapshot is rewritten even if few records were appended, so
 * that the log does not truncate it.
 */
static int64_t
snapshot_age_limit(const struct control *c)
{
	const struct retention *r = &c->retention;
	int64_t min_age_us =
	    r->truncated ? SNAPSHOT_AGE_MIN_US : SNAPSHOT_AGE_DEFAULT_US;
	int64_t share_us = r->retained_us / SNAPSHOT_RETENTION_DIVISOR;

	return share_us > min_age_us ? share_us : min_age_us;
}

static bool
snapshot_due_by_age(const struct control *c, const struct view *v)
{
	const struct fold_snapshot *s = fold_snapshot(v->fold);

	return c->first_retained_offset > 0 && s->next != 0 &&
	    v->now_us - c->snapshot_seen_us >= snapshot_age_limit(c);
}

static void
snapshot_append_parts(struct control *c, const struct view *v)
{
	struct snapshot_writer *sw = &c->writer;
	struct buf *state = fold_encode(v->fold);
	struct wire_writer w;
	const uint8_t *part;
	uint32_t i, count;
	uint64_t seq;
	size_t len;

	memset(&sw->head, 0, sizeof(sw->head));
	snapshot_head_init(&sw->head, v->fold, state);
	count = snapshot_part_count(state->len);
	if (count > SNAPSHOT_PENDING_MAX)
		count = 0;
	sw->writing = count > 0;
	sw->parts_offset = 0;
	sw->first_seq = 0;
	for (i = 0; i < count; i++) {
		part = snapshot_part(state, i, &len);
		wire_writer_init(&w);
		wire_map(&w, 3);
		wire_u64(&w, "nx", sw->head.next);
		wire_u64(&w, "i", i);
		wire_bin(&w, "b", part, len);
		seq = appender_push(v->appender, STREAM_SNAPSHOT,
		    RECORD_SNAPSHOT, wire_writer_finish(&w));
		if (i == 0)
			sw->first_seq = seq;
		sw->last_seq = seq;
	}
	buf_unref(state);
}

static void
snapshot_publish(struct control *c, const struct view *v)
{
	struct snapshot_writer *sw = &c->writer;
	struct wire_writer w;

	sw->writing = false;
	sw->written_count++;
	wire_writer_init(&w);
	wire_map(&w, 4);
	wire_u64(&w, "nx", sw->head.next);
	wire_u64(&w, "at", sw->parts_offset);
	wire_u64(&w, "len", sw->head.len);
	wire_u64(&w, "h", sw->head.hash);
	control_propose(c, v, RECORD_SNAPSHOT, wire_writer_finish(&w));
}

static void
snapshot_continue(struct control *c, const struct view *v)
{
	struct snapshot_writer *sw = &c->writer;

	if (sw->parts_offset == 0 &&
	    appender_is_done(v->appender, STREAM_SNAPSHOT, sw->first_seq))
		sw->parts_offset =
		    appender_last_done_offset(v->appender, STREAM_SNAPSHOT);
	if (appender_is_done(v->appender, STREAM_SNAPSHOT, sw->last_seq))
		snapshot_publish(c, v);
}

void
control_snapshot_step(struct control *c, const struct view *v)
{
	if (c->snapshot_record_offset !=
	    fold_snapshot(v->fold)->record_offset) {
		c->snapshot_record_offset =
		    fold_snapshot(v->fold)->record_offset;
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

	if (sw->writing || !control_may_act(c, v) ||
	    !control_appends_folded(v) ||
	    !peers_is_responsible(v->peers, v, "snapshot") ||
	    (!snapshot_due_by_records(c, v) && !snapshot_due_by_age(c, v))) {
		sw->due_since_us = 0;
		return;
	}
	if (sw->due_since_us == 0)
		sw->due_since_us = v->now_us;
	if (v->now_us - sw->due_since_us >=
	    SNAPSHOT_STANDBY_DELAY_US * (int64_t)data_centre_rank(v))
		snapshot_append_parts(c, v);
}
