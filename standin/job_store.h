/*
 * Stand-in of the users' store: topics of records with offsets, the newest
 * record of each key, groups that deal a topic's partitions.  As far as
 * mimosalead uses it.
 */
#ifndef STANDIN_JOB_STORE_H
#define STANDIN_JOB_STORE_H

#include <stdbool.h>

#include "http_server.h"

struct job_store;

struct job_store *job_store_new(void);
void job_store_free(struct job_store *s);
/* True where the path is the store's; the exchange is answered then. */
bool job_store_request(struct job_store *s, struct exchange *x);
/* The exchange has ended: a read that waits for records is forgotten. */
void job_store_ended(struct job_store *s, struct exchange *x);
/* Answers reads whose time is over.  Call every few ms. */
void job_store_tick(struct job_store *s);
/* Appends a record of a worker's entry. */
void job_store_put(
    struct job_store *s, const char *topic, const char *key, const char *value);
/* Appends a record as it stands: key length, key and value, or anything. */
void job_store_put_raw(
    struct job_store *s, const char *topic, const void *data, size_t len);
/* Pages of the newest records have so many; 0: all of them. */
void job_store_page(struct job_store *s, int items);
/* Limit of a record; an append may have twice as much. */
void job_store_records(struct job_store *s, int record_bytes);
/* So many further pages after the first one are cut off. */
void job_store_odd_pages(struct job_store *s, int pages);
/* So many reads of records have a record with a length of 4 GB. */
void job_store_odd_reads(struct job_store *s, int reads);
/* Each call is answered with this status and nothing else; 0: they are served.
 */
void job_store_refuse(struct job_store *s, int status);
/* The same for one in "of" topics only. */
void job_store_refuse_some(struct job_store *s, int status, int of, int rest);
/* The same for the topic of this name only. */
void job_store_refuse_topic(struct job_store *s, int status, const char *name);
/*
 * Calls that come in at the port are answered with the status, or not at all
 * with 0; 200: they are served again.
 */
void job_store_turn_away(struct job_store *s, int port, int status);
/* Reads from before this moment are told that their records are gone. */
void job_store_forget(struct job_store *s);
/* One in so many appends of jobs is acknowledged and not kept. */
void job_store_forget_appends(struct job_store *s, int every);
/* The group's word is wrong from now on: each member holds everything. */
void job_store_deal_all(struct job_store *s);
/* Each append is carried out so long after it has come. */
void job_store_slow(struct job_store *s, int append_ms);
/* Each producer's append is carried out; so many tries of it get no answer. */
void job_store_lose(struct job_store *s, int tries);
/* So many of producers' appends are refused as if they were unreadable. */
void job_store_garble(struct job_store *s, int appends);
/* Appends that were refused for good: records too large, or broken. */
int job_store_unreadable(const struct job_store *s);

#endif
