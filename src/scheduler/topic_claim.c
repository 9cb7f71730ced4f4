#include "topic_claim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "append_op.h"
#include "store_client.h"
#include "wire.h"

#define KEY_TERM "term"
#define CALL_TIMEOUT_MS 1500 /* the store may be some 50 times slower */
#define RETRY_MS 150
/* Of a claim's number: appends of a term follow it and must not overflow. */
#define SEQ_MASK INT64_C(0x3fffffffffff)

struct topic_claim {
	struct topic_claim_opts opts;
	int64_t term; /* epoch of the newest term read */
	int64_t term_offset;
	int64_t next; /* offset to read from; -1: newest first */
	int64_t page_end; /* of the first page of newest records */
	bool first_page;
	char after[STORE_KEY_MAX + 1];
	int64_t claimed; /* epoch of the claim that was sent; 0 none … */
	int64_t claim_seq; /* … and its number */
	struct store_op *op;
	struct append_op *append; /* of the claim */
	lws_sorted_usec_list_t due;
};

static void claim_due(lws_sorted_usec_list_t *sul);

static void
claim_schedule(struct topic_claim *t, int ms)
{
	lws_sul_schedule(t->opts.scheduler->context, 0, &t->due, claim_due,
	    ms > 0 ? ms * US_PER_MS : 1);
}

static void
take_term(struct topic_claim *t, const struct store_record *r)
{
	struct wire_reader in;
	uint64_t epoch;

	if (r->offset < t->term_offset || r->value == NULL)
		return;
	if (wire_reader_init(&in, r->value, r->len, NULL) == -1)
		return;
	if (wire_get_u64(in.root, "epoch", &epoch)) {
		t->term = (int64_t)epoch;
		t->term_offset = r->offset;
	}
	wire_reader_uninit(&in);
}

static void
take_record(void *arg, const struct store_record *r)
{
	struct topic_claim *t = arg;

	if (strcmp(r->key, KEY_TERM) == 0)
		take_term(t, r);
	else
		t->opts.on_record(t->opts.arg, r);
}

static void
newest_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_claim *t = arg;
	struct store_page page;
	int bad;

	(void)sent;
	t->op = NULL;
	if (status == 404) { /* nothing was ever written there */
		t->next = 0;
		claim_schedule(t, 0);
		return;
	}
	bad = status == 200
	    ? store_newest_each(body, len, &page, take_record, t)
	    : -1;
	if (bad != 0)
		daemon_log(LOG_LEVEL_WARN, "claim",
		    "msg=\"newest records cannot be read\" topic=%s status=%d "
		    "bad=%d",
		    t->opts.topic, status, bad);
	if (bad < 0) {
		t->first_page = true;
		claim_schedule(t, RETRY_MS);
		return;
	}
	if (t->first_page)
		t->page_end = page.end;
	t->first_page = false;
	if (page.more)
		snprintf(t->after, sizeof(t->after), "%s", page.last_key);
	else
		t->next = t->page_end;
	claim_schedule(t, 0);
}

static void
read_ended(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_claim *t = arg;
	int64_t next;

	(void)sent;
	t->op = NULL;
	if (status == 410) { /* records before the end have expired */
		t->next = -1;
		t->first_page = true;
		claim_schedule(t, 0);
		return;
	}
	if (status != 200 ||
	    store_read_each(body, len, t->next, &next, take_record, t) < 0) {
		claim_schedule(t, RETRY_MS);
		return;
	}
	t->next = next;
	t->claimed = 0;
	claim_schedule(t, 0);
}

static void
read_tail(struct topic_claim *t)
{
	struct store_call c;

	store_read_call(&c, t->opts.topic, t->next, 0);
	t->op = store_op_start(
	    t->opts.scheduler, &c, CALL_TIMEOUT_MS, read_ended, t);
	if (t->op == NULL)
		claim_schedule(t, RETRY_MS);
}

static void
append_ended(
    void *arg, enum store_outcome outcome, const void *body, size_t len)
{
	struct topic_claim *t = arg;

	t->append = NULL;
	switch (outcome) {
	case STORE_DONE:
		t->opts.on_claimed(t->opts.arg, t->claimed, t->claim_seq + 1);
		return;
	case STORE_EARLY:
	case STORE_FENCED: /* a term that was not read */
		t->term++;
		read_tail(t);
		return;
	case STORE_MOVED: /* somebody wrote meanwhile */
		read_tail(t);
		return;
	case STORE_UNREADABLE: /* a claim is small: the store is at fault */
		daemon_log(LOG_LEVEL_ERROR, "claim",
		    "msg=\"the store cannot read a claim\" topic=%s "
		    "answer=%.*s remedy=\"look at the store\"",
		    t->opts.topic, (int)(len < 100 ? len : 100),
		    body != NULL ? (const char *)body : "");
		/* FALLTHROUGH */
	case STORE_NOT_DONE:
	case STORE_FULL:
	case STORE_UNKNOWN:
		/* the same claim again: it is taken once */
		claim_schedule(t, RETRY_MS);
		return;
	}
}

/*
 * The store answers a repeat of an epoch's number like the first of them,
 * whoever sends it: two claims of one epoch must not share their number.
 */
static int64_t
own_seq(const struct topic_claim *t)
{
	const char *member = t->opts.scheduler->member;
	uint64_t now = (uint64_t)sched_monotonic_us();

	return (int64_t)XXH64(member, strlen(member), now) & SEQ_MASK;
}

static void
send_claim(struct topic_claim *t)
{
	struct append_opts o = {.at = t->next};
	struct wire_writer w;
	struct buf *value;

	if (t->claimed == 0) {
		t->claimed = t->term + 1;
		t->claim_seq = own_seq(t);
	}
	o.seq = t->claim_seq;
	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_u64(&w, "epoch", (uint64_t)t->claimed);
	wire_str(&w, "member", t->opts.scheduler->member);
	value = wire_writer_take(&w);
	o.records = buf_new(128);
	if (value == NULL || o.records == NULL ||
	    store_record_add(o.records, KEY_TERM, value->data, value->len) ==
		-1)
		goto out;
	o.topic = t->opts.topic;
	o.epoch = t->claimed;
	t->append = append_op_start(t->opts.scheduler, &o, append_ended, t);
out:
	if (t->append == NULL)
		claim_schedule(t, RETRY_MS);
	buf_unref(value);
	buf_unref(o.records);
}

static void
claim_due(lws_sorted_usec_list_t *sul)
{
	struct topic_claim *t = lws_container_of(sul, struct topic_claim, due);
	struct store_call c;

	if (t->op != NULL || t->append != NULL)
		return;
	if (t->next >= 0) {
		send_claim(t);
		return;
	}
	store_newest_call(&c, t->opts.topic, t->first_page ? NULL : t->after);
	t->op = store_op_start(
	    t->opts.scheduler, &c, CALL_TIMEOUT_MS, newest_ended, t);
	if (t->op == NULL)
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
	t->next = -1;
	t->first_page = true;
	t->term_offset = -1;
	claim_schedule(t, 0);
	return t;
}

void
topic_claim_free(struct topic_claim *t)
{
	if (t == NULL)
		return;
	lws_sul_cancel(&t->due);
	store_op_cancel(t->op);
	append_op_cancel(t->append);
	free(t);
}
