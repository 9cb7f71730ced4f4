/*
 * Updates of all pools in a term of the controller: sends a pool's cordons and
 * proposed shares of accounts' caps to the pool's owner, which answers with a
 * report.
 */
#ifndef OWNER_EXCHANGE_H
#define OWNER_EXCHANGE_H

#include "roster.h"
#include "scheduler.h"

struct owner_exchange;

struct owner_exchange_opts {
	struct scheduler *scheduler;
	struct roster *roster; /* NULL: no machine service, and no cordons */
	int64_t fence; /* of the controller's term */
	/* The term may still send. */
	bool (*confirmed)(void *arg);
	void (*on_report)(void *arg, const struct pool_report *r);
	void *arg;
};

/* NULL when out of memory. */
struct owner_exchange *owner_exchange_new(
    const struct owner_exchange_opts *opts);
void owner_exchange_free(struct owner_exchange *x); /* accepts NULL */
/* Updates all pools that are in use. */
void owner_exchange_tick(struct owner_exchange *x);
void owner_exchange_config_changed(struct owner_exchange *x);
void owner_exchange_metrics(const struct owner_exchange *x, struct buf *out);

#endif
