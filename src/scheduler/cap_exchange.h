/*
 * Exchange about accounts' caps between the allocator, which belongs to the
 * controller's term, and the owners of pools: fills in the requests that go to
 * owners with the controller's updates, and takes their reports.
 */
#ifndef CAP_EXCHANGE_H
#define CAP_EXCHANGE_H

#include "cap_share.h"
#include "scheduler.h"

struct cap_exchange;

/* Some account of the configuration has a cap; "c" may be NULL. */
bool config_has_caps(const struct config *c);

/*
 * "send" is called to update a pool between two regular updates, as there is a
 * proposal for it.  "controller" is the fence of the term.  NULL when out of
 * memory.
 */
struct cap_exchange *cap_exchange_new(struct scheduler *s, int64_t controller,
    void (*send)(void *arg, const char *pool), void *arg);
void cap_exchange_free(struct cap_exchange *x); /* accepts NULL */
/* Before each round of updates. */
void cap_exchange_tick(struct cap_exchange *x);
void cap_exchange_config_changed(struct cap_exchange *x);
/* What is to be sent to the pool's owner; "r" is all zero if nothing is. */
void cap_exchange_fill(
    struct cap_exchange *x, const char *pool, struct cap_request *r);
/* "owner" is the fence of the owner's term; "r" may be NULL. */
void cap_exchange_report(struct cap_exchange *x, const char *pool,
    int64_t owner, const struct cap_report *r);
void cap_exchange_metrics(const struct cap_exchange *x, struct buf *out);

#endif
