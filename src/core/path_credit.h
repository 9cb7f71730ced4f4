/*
 * Credits: the right to use a worker's slots. A daemon owns a share of the
 * slots (path_share.h) and lends idle ones to peers on request. Each loan has a
 * short lease that ends for the borrower before it ends for the lender. As in
 * credit-based flow control, the absence of credit is the only signal: a sender
 * without credit waits, and there is no central measurement or control.
 */
#ifndef PATH_CREDIT_H
#define PATH_CREDIT_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "path.h"
#include "path_share.h"
#include "path_upstream.h"

/* Slots of one VM that one daemon has lent to another. */
struct loan {
	uint64_t id; /* assigned by the lender */
	uint64_t peer; /* daemon on the other side of the loan */
	uint64_t peer_incarnation; /* of "peer" */
	char vm[NAME_BYTES];
	uint64_t vm_incarnation;
	int slot_count; /* slots not returned yet */
	int returned_count; /* slots returned so far */
	/* End of the lease for this side; the borrower's end is earlier. */
	int64_t lease_end_us;
	/*
	 * Borrowed from a daemon that has left the fold's table or has
	 * restarted.
	 */
	bool orphaned;
	TAILQ_ENTRY(loan) link;
};
TAILQ_HEAD(loan_list, loan);

/*
 * Loan requests between this daemon and one peer about one pool. Each side has
 * at most one open request.
 */
struct credit_exchange {
	uint64_t peer;
	char pool[NAME_BYTES];
	/* This daemon's request to the peer. */
	uint64_t sent_number; /* 0: no request is open */
	int64_t sent_us;
	int64_t recall_sent_us;
	/* The peer's request to this daemon. */
	uint64_t peer_incarnation;
	uint64_t received_number; /* number of the newest request */
	/* The peer's clock when it sent the request. */
	int64_t received_peer_us;
	/* Request is open until then; 0: answered. */
	int64_t received_expiry_us;
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
	int64_t recount_us; /* credit_recount() is due then */
	uint64_t lent_total, borrowed_total; /* slots since the start */
	uint64_t recall_count, expired_count;
};

void credit_init(struct credit *c, enum path_policy policy);
void credit_uninit(struct credit *c);
/*
 * Updates shares and credits from the fold. The upstream table must have been
 * synced before.
 */
void credit_sync(
    struct credit *c, const struct view *v, struct upstream_table *t);
void credit_tick(struct credit *c, const struct view *v,
    struct upstream_table *t, struct effects *fx);
/* Recomputes base, lent, borrowed and usable slots of every upstream. */
void credit_recount(
    struct credit *c, const struct view *v, struct upstream_table *t);
/* True where a lease has ended since the last recount. */
bool credit_recount_due(const struct credit *c, const struct view *v);
/* True where this daemon may lend to the peer or borrow from it. */
bool credit_is_partner(const struct view *v, uint64_t id);
/* True where a live peer in this data centre may lend slots. */
bool credit_can_borrow(const struct credit *c, const struct view *v);
/*
 * Sends loan requests for a pool to all partners, and recalls slots lent to
 * them. "wanted" is the number of waiting requests.
 */
void credit_request_slots(struct credit *c, const struct view *v,
    struct upstream_table *t, struct upstream_pool *p, int wanted,
    struct effects *fx);
/* Returns the number of requests that wait here for slots of a pool. */
typedef int (*credit_waiting_fn)(
    const void *arg, const struct upstream_pool *p);
/* Handles FRAME_CREDIT_* and FRAME_PATH_STATUS. */
void credit_frame(struct credit *c, const struct view *v,
    struct upstream_table *t, const struct frame *f, struct effects *fx);
/* Grants open loan requests of peers from idle slots. */
void credit_lend_idle(struct credit *c, const struct view *v,
    struct upstream_table *t, credit_waiting_fn waiting, const void *arg,
    struct effects *fx);
/*
 * Returns idle borrowed slots whose lease has ended. "all" ends every lease
 * first.
 */
void credit_return_borrowed(struct credit *c, const struct view *v,
    struct upstream_table *t, bool all, struct effects *fx);
/* Slots of a VM that are lent to peers and not returned yet. */
int credit_lent_slots(
    const struct credit *c, const char *vm, uint64_t incarnation);

#endif
