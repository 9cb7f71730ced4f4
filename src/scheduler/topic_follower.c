#include "topic_follower.h"

#include <stdio.h>
#include <string.h>

#include "store_client.h"

#define READ_TIMEOUT_MS 900 /* plus the long poll */
#define RETRY_DELAY_MS 250
/* Malformed reads from one offset, until the newest records are read. */
#define MALFORMED_READS_MAX 4
#define ODD_LOG_INTERVAL_MS 1000 /* between two lines about odd records */

static void on_follower_due(lws_sorted_usec_list_t *sul);

static void
follower_schedule(struct topic_follower *f, int ms)
{
	lws_sul_schedule(f->scheduler->context, 0, &f->timer, on_follower_due,
	    ms > 0 ? ms * US_PER_MS : 1);
}

static void
read_started(struct topic_follower *f, int long_poll_ms)
{
	if (f->on_read_start != NULL)
		f->on_read_start(f->arg, long_poll_ms);
}

static void
read_ended(struct topic_follower *f, enum config_read_end end)
{
	if (f->on_read_end != NULL)
		f->on_read_end(f->arg, end);
}

static void
forward_record(void *arg, const struct store_record *r)
{
	struct topic_follower *f = arg;

	f->on_record(f->arg, r);
}

bool
topic_follower_may_log_odd(struct topic_follower *f)
{
	int64_t now_us = sched_monotonic_us();

	if (f->odd_logged_us != 0 &&
	    now_us - f->odd_logged_us < ODD_LOG_INTERVAL_MS * US_PER_MS) {
		f->odd_unlogged++;
		return false;
	}
	f->odd_logged_us = now_us;
	return true;
}

/* "records": malformed ones of an answer; -1: the answer is malformed. */
static void
log_malformed(struct topic_follower *f, int records)
{
	if (records == 0 || !topic_follower_may_log_odd(f))
		return;
	if (records > 0)
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"cannot decode records: skipped\" topic=%s "
		    "records=%d unlogged=%llu",
		    f->topic, records, (unsigned long long)f->odd_unlogged);
	else
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"cannot decode the store's answer: reads again\" "
		    "topic=%s from=%lld in_a_row=%d unlogged=%llu",
		    f->topic, (long long)f->next_offset, f->malformed_answers,
		    (unsigned long long)f->odd_unlogged);
	f->odd_unlogged = 0;
}

/* Begins the next page.  False when the page does not show where it is. */
static bool
next_page(struct topic_follower *f, const struct store_page *page)
{
	if (page->last_key[0] == '\0' ||
	    strcmp(page->last_key, f->last_key) == 0) {
		daemon_log(LOG_LEVEL_ERROR, "watch",
		    "msg=\"no key of a page can be read: leaves out the pages "
		    "behind it\" topic=%s",
		    f->topic);
		f->scan_incomplete = true;
		return false;
	}
	snprintf(f->last_key, sizeof(f->last_key), "%s", page->last_key);
	follower_schedule(f, 0);
	return true;
}

static void
finish_scan(struct topic_follower *f)
{
	f->first_page = true;
	f->loaded = true;
	f->last_read_boottime_us = f->read_sent_boottime_us;
	f->on_loaded(f->arg);
}

static void
on_newest_done(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_follower *f = arg;
	struct store_page page;
	int malformed;

	(void)sent;
	f->op = NULL;
	if (status == 404 && f->may_be_missing) {
		finish_scan(f);
		f->next_offset = -1;
		follower_schedule(f, RETRY_DELAY_MS);
		return;
	}
	if (status != 200) {
		read_ended(f, CONFIG_READ_FAILED);
		f->first_page = true;
		follower_schedule(f, RETRY_DELAY_MS);
		return;
	}
	malformed = store_newest_each(body, len, &page, forward_record, f);
	if (malformed < 0) {
		read_ended(f, CONFIG_READ_FAILED);
		f->malformed_answers++;
		log_malformed(f, malformed);
		f->first_page = true;
		follower_schedule(f, RETRY_DELAY_MS);
		return;
	}
	f->malformed_answers = 0;
	log_malformed(f, malformed);
	if (f->first_page)
		f->snapshot_end_offset = page.end_offset;
	f->first_page = false;
	if (page.has_more && next_page(f, &page)) {
		read_ended(f, CONFIG_READ_PARTIAL);
		return;
	}
	f->next_offset = f->snapshot_end_offset;
	finish_scan(f);
	read_ended(
	    f, f->scan_incomplete ? CONFIG_READ_FAILED : CONFIG_READ_COMPLETE);
	follower_schedule(f, f->poll_interval_ms);
}

static void
read_newest(struct topic_follower *f)
{
	struct store_call c;

	if (f->first_page) {
		f->scan++;
		f->scan_incomplete = false;
		f->last_key[0] = '\0';
		f->read_sent_boottime_us = sched_boottime_us();
	}
	store_newest_call(&c, f->topic, f->first_page ? NULL : f->last_key);
	f->op = store_op_start(
	    f->scheduler, &c, READ_TIMEOUT_MS, on_newest_done, f);
	if (f->op != NULL) {
		read_started(f, 0);
		return;
	}
	read_ended(f, CONFIG_READ_FAILED);
	follower_schedule(f, RETRY_DELAY_MS);
}

static void
on_read_done(void *arg, int status, bool sent, const void *body, size_t len)
{
	struct topic_follower *f = arg;
	int64_t next;
	int malformed;

	(void)sent;
	f->op = NULL;
	if (status == 410 || status == 404 || status == 400) {
		daemon_log(LOG_LEVEL_INFO, "watch",
		    "msg=\"offset is no longer available: reads the newest "
		    "records\" topic=%s from=%lld",
		    f->topic, (long long)f->next_offset);
		f->next_offset = -1;
		read_ended(f,
		    status == 410 ? CONFIG_READ_PARTIAL : CONFIG_READ_FAILED);
		follower_schedule(f, status == 410 ? 0 : RETRY_DELAY_MS);
		return;
	}
	if (status != 200) {
		read_ended(f, CONFIG_READ_FAILED);
		follower_schedule(f, RETRY_DELAY_MS);
		return;
	}
	malformed = store_read_each(
	    body, len, f->next_offset, &next, forward_record, f);
	f->malformed_answers = malformed >= 0 || next > f->next_offset
	    ? 0
	    : f->malformed_answers + 1;
	f->next_offset = next;
	log_malformed(f, malformed);
	if (malformed >= 0) {
		f->read_at_once = false;
		f->last_read_boottime_us = f->read_sent_boottime_us;
		read_ended(f,
		    next >= store_read_end(body, len) ? CONFIG_READ_COMPLETE
						      : CONFIG_READ_PARTIAL);
		follower_schedule(f, f->poll_interval_ms);
		return;
	}
	read_ended(f, CONFIG_READ_FAILED);
	if (f->malformed_answers >= MALFORMED_READS_MAX) {
		daemon_log(LOG_LEVEL_WARN, "watch",
		    "msg=\"records cannot be decoded: reads the newest of each "
		    "key\" topic=%s from=%lld",
		    f->topic, (long long)f->next_offset);
		f->malformed_answers = 0;
		f->next_offset = -1;
	}
	follower_schedule(f, RETRY_DELAY_MS);
}

static void
on_follower_due(lws_sorted_usec_list_t *sul)
{
	struct topic_follower *f =
	    lws_container_of(sul, struct topic_follower, timer);
	struct store_call c;
	int hold_ms;

	if (!f->active || f->op != NULL)
		return;
	if (f->next_offset < 0) {
		read_newest(f);
		return;
	}
	hold_ms = f->read_at_once ? 0 : f->long_poll_ms;
	f->read_sent_boottime_us = sched_boottime_us();
	store_read_call(&c, f->topic, f->next_offset, hold_ms);
	f->op = store_op_start(
	    f->scheduler, &c, hold_ms + READ_TIMEOUT_MS, on_read_done, f);
	if (f->op != NULL) {
		read_started(f, hold_ms);
		return;
	}
	read_ended(f, CONFIG_READ_FAILED);
	follower_schedule(f, RETRY_DELAY_MS);
}

void
topic_follower_init(
    struct topic_follower *f, struct scheduler *s, const char *topic, void *arg)
{
	memset(f, 0, sizeof(*f));
	f->scheduler = s;
	f->topic = topic;
	f->arg = arg;
	f->next_offset = -1;
	f->first_page = true;
}

void
topic_follower_uninit(struct topic_follower *f)
{
	lws_sul_cancel(&f->timer);
	store_op_cancel(f->op);
	f->op = NULL;
}

void
topic_follower_set(struct topic_follower *f, bool active)
{
	if (active == f->active)
		return;
	f->active = active;
	f->loaded = false;
	f->next_offset = -1;
	f->first_page = true;
	if (active)
		follower_schedule(f, 0);
	else
		topic_follower_uninit(f);
}

void
topic_follower_refresh(struct topic_follower *f)
{
	if (!f->active || (f->op != NULL && f->next_offset < 0))
		return; /* the read that follows the scan is not held */
	topic_follower_uninit(f);
	f->read_at_once = true;
	follower_schedule(f, 0);
}
