/*
 * Credits: the right to use a worker's slots.  A daemon owns a share
 * (path_share.h) and lends what it does not need to peers that ask, each loan
 * under a short lease that ends for the borrower before it ends for the
 * lender.  As in credit-based flow control the absence of credit is the only
 * signal: a sender without credit waits, and nobody measures or steers the
 * whole.
 */
#ifndef PATH_CREDIT_H
#define PATH_CREDIT_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "path.h"
#include "path_share.h"
#include "path_upstream.h"

/* Slots of one VM that one daemon lent to another. */
struct loan {
	uint64_t id; /* the lender's number */
	uint64_t peer; /* the other side */
	uint64_t peer_incarnation; /* of the other side */
	char vm[NAME_BYTES];
	uint64_t vm_incarnation;
	int slot_count; /* still out, or still held */
	int returned_count; /* so far, by the borrower */
	int64_t lease_end_us; /* end of the lease for this side */
	bool orphaned; /* borrowed from a daemon that is on record no more */
	TAILQ_ENTRY(loan) link;
};
TAILQ_HEAD(loan_list, loan);

/* What goes on with one peer about one pool; one question at a time. */
struct credit_exchange {
	uint64_t peer;
	char pool[NAME_BYTES];
	/* ours */
	uint64_t sent_number; /* 0: none open */
	int64_t sent_us;
	int64_t recall_sent_us;
	/* its own */
	uint64_t peer_incarnation;
	uint64_t received_number; /* newest question */
	int64_t received_peer_us; /* the peer's clock when it asked */
	int64_t
	    received_expiry_us; /* still unanswered until then; 0: answered */
	int64_t wanted_slots;
	TAILQ_ENTRY(credit_exchange) link;
};
TAILQ_HEAD(credit_exchange_list, credit_exchange);

struct credit {
	enum path_policy policy;
	struct share share;
	struct loan_list lent, borrowed;
	uint64_t last_loan_id, last_request_number;
	struct credit_exchange_list exchanges;
	int64_t recount_us; /* counts must be worked out again by then */
	uint64_t lent_total, borrowed_total, recall_count, expired_count;
};

void credit_init(struct credit *c, enum path_policy policy);
void credit_uninit(struct credit *c);
/* Follows the fold; the table has been synced before. */
void credit_sync(
    struct credit *c, const struct view *v, struct upstream_table *t);
void credit_tick(struct credit *c, const struct view *v,
    struct upstream_table *t, struct effects *fx);
/* Works base, lent, held and credits of every upstream out again. */
void credit_recount(
    struct credit *c, const struct view *v, struct upstream_table *t);
/* True where a lease has ended since the last count. */
bool credit_recount_due(const struct credit *c, const struct view *v);
/* True where a daemon may lend to this one or borrow from it. */
bool credit_is_partner(const struct view *v, uint64_t id);
/* True where a peer of this data centre may lend. */
bool credit_can_borrow(const struct credit *c, const struct view *v);
/* Asks peers for slots of a pool, or for lent ones back; "want" wait. */
void credit_request_slots(struct credit *c, const struct view *v,
    struct upstream_table *t, struct upstream_pool *p, int want,
    struct effects *fx);
/* Requests that wait here for a pool. */
typedef int (*credit_waiting_fn)(
    const void *arg, const struct upstream_pool *p);
/* Takes in FRAME_CREDIT_* and FRAME_PATH_STATUS. */
void credit_frame(struct credit *c, const struct view *v,
    struct upstream_table *t, const struct frame *f, struct effects *fx);
/* Answers open questions of peers once slots are idle. */
void credit_lend_idle(struct credit *c, const struct view *v,
    struct upstream_table *t, credit_waiting_fn waiting, const void *arg,
    struct effects *fx);
/* Returns borrowed slots whose lease has ended, or all that are idle. */
void credit_return_borrowed(struct credit *c, const struct view *v,
    struct upstream_table *t, bool all, struct effects *fx);
/* Slots of a VM lent to peers and not yet back. */
int credit_lent_slots(
    const struct credit *c, const char *vm, uint64_t incarnation);

#endif
