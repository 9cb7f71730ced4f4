/*
 * Follows a topic of the store: reads the newest record of each key, page by
 * page, and then the records that follow.
 */
#ifndef TOPIC_FOLLOWER_H
#define TOPIC_FOLLOWER_H

#include "config_trust.h"
#include "scheduler.h"

struct store_op;

struct topic_follower {
	struct scheduler *scheduler;
	void *arg; /* of the callbacks */
	const char *topic;
	int long_poll_ms;
	int poll_interval_ms;
	bool may_be_missing; /* a topic that does not exist yet is empty */
	bool active;
	bool read_at_once; /* the next read is not held by the store */
	bool loaded; /* the newest records of all keys have been read */
	int64_t read_sent_boottime_us; /* of the read in flight */
	/* When the newest read that reached the end was sent. */
	int64_t last_read_boottime_us;
	int64_t next_offset; /* -1: read the newest records first */
	int64_t snapshot_end_offset; /* end of the topic at the first page */
	bool first_page;
	char last_key[STORE_KEY_MAX_BYTES +
	    1]; /* the next page starts after it */
	uint64_t scan; /* number of this scan of the newest records */
	bool scan_incomplete; /* records of this scan could not be read */
	int malformed_answers; /* since the last one that could be read */
	int64_t odd_logged_us; /* last line about an odd record or answer */
	uint64_t odd_unlogged; /* odd ones since then */
	struct store_op *op;
	lws_sorted_usec_list_t timer;
	void (*on_record)(void *arg, const struct store_record *r);
	void (*on_loaded)(void *arg); /* a scan is complete */
	/* Of each read's end; NULL: not needed. */
	void (*on_read_end)(void *arg, enum config_read_end end);
	/* A read was sent that the store holds for so long; NULL: not needed.
	 */
	void (*on_read_start)(void *arg, int long_poll_ms);
};

/* The owner sets the callbacks and intervals, then topic_follower_set(). */
void topic_follower_init(struct topic_follower *f, struct scheduler *s,
    const char *topic, void *arg);
void topic_follower_uninit(struct topic_follower *f);
/* Starts, from the newest records on, or stops. */
void topic_follower_set(struct topic_follower *f, bool active);
/* Reads at once instead of waiting for the answer to a held read. */
void topic_follower_refresh(struct topic_follower *f);
/* True when a line may be logged about an odd record or answer. */
bool topic_follower_may_log_odd(struct topic_follower *f);

#endif
