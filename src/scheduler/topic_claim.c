#include "topic_claim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "append_op.h"
#include "store_client.h"
#include "wire.h"

#define KEY_TERM "term"
/* The store may answer some 50 times slower than usual. */
#define READ_TIMEOUT_MS 1500
#define RETRY_MS 150
/* Leaves room above the claim's number: the term's appends count up from it. */
#define CLAIM_SEQ_MASK INT64_C(0x3fffffffffff)

struct topic_claim {
	struct topic_claim_opts opts;
	int64_t newest_epoch; /* of the newest term record read */
	int64_t newest_epoch_offset; /* of that record; -1 none */
	/*
	 * End of what was read, where the next read starts; -1 until the newest
	 * record of each key has been read.
	 */
	int64_t next_offset;
	/* End of the topic as of the first page of newest records. */
	int64_t snapshot_end_offset;
	bool at_first_page; /* of the newest records */
	char after_key[STORE_KEY_MAX_BYTES +
	    1]; /* last key of the previous page */
	int64_t claim_epoch; /* of the current claim; 0 none */
	int64_t claim_seq; /* append number of the current claim */
	struct store_op *read_op; /* in flight, or NULL */
	struct append_op *claim_append; /* in flight, or NULL */
	lws_sorted_usec_list_t sul; /* next read or claim */
};

static void on_claim_due(lws_sorted_usec_list_t *sul);

static void
claim_schedule(struct topic_claim *t, int ms)
{
	lws_sul_schedule(t->opts.scheduler->context, 0, &t->sul, on_claim_due,
	    ms > 0 ? ms * US_PER_MS : 1);
}

static void
read_term(struct topic_claim *t, const struct store_record *r)
{
	struct wire_reader in;
	uint64_t epoch;

	if (r->offset < t->newest_epoch_offset || r->value == NULL)
		return;
	if (wire_reader_init(&in, r->value, r->value_len, NULL) == -1)
		return;
	if (wire_get_u64(in.root, "epoch", &epoch)) {
		t->newest_epoch = (int64_t)epoch;
		t->newest_epoch_offset = r->offset;
	}
	wire_reader_uninit(&in);
}

static void
handle_record(void *arg, const struct store_record *r)
{
	struct topic_claim *t = arg;

	if (strcmp(r->key, KEY_TERM) == 0)
		read_term(t, r);
	else
		t->opts.on_record(t->opts.arg, r);
}

static void
on_newest_read(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_claim *t = arg;
	struct store_page page;
	int bad;

	(void)sent;
	t->read_op = NULL;
	if (status == 404) { /* the topic does not exist yet */
		t->next_offset = 0;
		claim_schedule(t, 0);
		return;
	}
	bad = status == 200
	    ? store_newest_each(body, len, &page, handle_record, t)
	    : -1;
	if (bad != 0)
		daemon_log(LOG_LEVEL_WARN, "claim",
		    "msg=\"newest records of the topic cannot be read\" "
		    "topic=%s status=%d bad=%d",
		    t->opts.topic, status, bad);
	if (bad < 0) {
		t->at_first_page = true;
		claim_schedule(t, RETRY_MS);
		return;
	}
	if (t->at_first_page)
		t->snapshot_end_offset = page.end_offset;
	t->at_first_page = false;
	if (page.has_more)
		snprintf(
		    t->after_key, sizeof(t->after_key), "%s", page.last_key);
	else
		t->next_offset = t->snapshot_end_offset;
	claim_schedule(t, 0);
}

static void
on_tail_read(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_claim *t = arg;
	int64_t next;

	(void)sent;
	t->read_op = NULL;
	if (status == 410) { /* records at next_offset have expired */
		t->next_offset = -1;
		t->at_first_page = true;
		claim_schedule(t, 0);
		return;
	}
	if (status != 200 ||
	    store_read_each(
		body, len, t->next_offset, &next, handle_record, t) < 0) {
		claim_schedule(t, RETRY_MS);
		return;
	}
	t->next_offset = next;
	t->claim_epoch = 0;
	claim_schedule(t, 0);
}

static void
read_tail(struct topic_claim *t)
{
	struct store_call c;

	store_read_call(&c, t->opts.topic, t->next_offset, 0);
	t->read_op = store_op_start(
	    t->opts.scheduler, &c, READ_TIMEOUT_MS, on_tail_read, t);
	if (t->read_op == NULL)
		claim_schedule(t, RETRY_MS);
}

static void
on_append_end(
    void *arg, enum store_outcome outcome, const void *body, size_t len)
{
	struct topic_claim *t = arg;

	t->claim_append = NULL;
	switch (outcome) {
	case STORE_DONE:
		t->opts.on_claimed(
		    t->opts.arg, t->claim_epoch, t->claim_seq + 1);
		return;
	case STORE_OUT_OF_SEQUENCE:
	case STORE_FENCED: /* there is a term whose record was not read */
		t->newest_epoch++;
		read_tail(t);
		return;
	case STORE_END_MISMATCH: /* another writer has appended records */
		read_tail(t);
		return;
	case STORE_MALFORMED: /* cannot be too large: a fault of the store */
		daemon_log(LOG_LEVEL_ERROR, "claim",
		    "msg=\"the store rejects a claim as malformed; retrying\" "
		    "topic=%s answer=%.*s remedy=\"check the store\"",
		    t->opts.topic, (int)(len < 100 ? len : 100),
		    body != NULL ? (const char *)body : "");
		/* FALLTHROUGH */
	case STORE_NOT_DONE:
	case STORE_FULL:
	case STORE_UNKNOWN:
		/* same epoch and number, so that the store applies it once */
		claim_schedule(t, RETRY_MS);
		return;
	}
}

/*
 * Number of a new claim.  The store treats an append with the epoch and number
 * of an earlier one as its retransmission and reports success, whoever sends
 * it.  The claims of two members for one epoch must therefore differ in number.
 */
static int64_t
claim_seq_new(const struct topic_claim *t)
{
	const char *member = t->opts.scheduler->member;
	uint64_t now = (uint64_t)sched_monotonic_us();

	return (int64_t)XXH64(member, strlen(member), now) & CLAIM_SEQ_MASK;
}

static void
send_claim(struct topic_claim *t)
{
	struct store_append_opts o = {.expected_end = t->next_offset};
	struct wire_writer w;
	struct buf *value;

	if (t->claim_epoch == 0) {
		t->claim_epoch = t->newest_epoch + 1;
		t->claim_seq = claim_seq_new(t);
	}
	o.seq = t->claim_seq;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "epoch", (uint64_t)t->claim_epoch);
	wire_str(&w, "member", t->opts.scheduler->member);
	value = wire_writer_finish(&w);
	o.records = buf_new(128);
	if (value == NULL || o.records == NULL ||
	    store_record_add(o.records, KEY_TERM, value->data, value->len) ==
		-1)
		goto out;
	o.topic = t->opts.topic;
	o.epoch = t->claim_epoch;
	t->claim_append =
	    append_op_start(t->opts.scheduler, &o, on_append_end, t);
out:
	if (t->claim_append == NULL)
		claim_schedule(t, RETRY_MS);
	buf_unref(value);
	buf_unref(o.records);
}

static void
on_claim_due(lws_sorted_usec_list_t *sul)
{
	struct topic_claim *t = lws_container_of(sul, struct topic_claim, sul);
	struct store_call c;

	if (t->read_op != NULL || t->claim_append != NULL)
		return;
	if (t->next_offset >= 0) {
		send_claim(t);
		return;
	}
	store_newest_call(
	    &c, t->opts.topic, t->at_first_page ? NULL : t->after_key);
	t->read_op = store_op_start(
	    t->opts.scheduler, &c, READ_TIMEOUT_MS, on_newest_read, t);
	if (t->read_op == NULL)
		claim_schedule(t, RETRY_MS);
}

struct topic_claim *
topic_claim_new(const struct topic_claim_opts *opts)
{
	struct topic_claim *t;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return NULL;
	t->opts = *opts;
	t->next_offset = -1;
	t->at_first_page = true;
	t->newest_epoch_offset = -1;
	claim_schedule(t, 0);
	return t;
}

void
topic_claim_free(struct topic_claim *t)
{
	if (t == NULL)
		return;
	lws_sul_cancel(&t->sul);
	store_op_cancel(t->read_op);
	append_op_cancel(t->claim_append);
	free(t);
}
