/*
 * What one daemon may send to one owner of pools.  Answers the load in which
 * an owner is slow or gone while hundreds of callers a second want it: tries
 * again and again by each of them would keep it down.  No I/O and no clock.
 */
#ifndef PEER_GATE_H
#define PEER_GATE_H

#include <stdbool.h>
#include <stdint.h>

/* Each has a share of its own, so that hand-ins do not starve the others. */
enum gate_kind {
	GATE_HAND_IN,
	GATE_ABOUT_JOB, /* a look, a cancel, a count */
	GATE_KINDS
};

enum gate_verdict {
	GATE_SEND,
	GATE_PROBE, /* send, and say so when it ends: the only one under way */
	GATE_WAIT /* nothing may be sent yet */
};

/* Zeroed but for "prng": nothing is known of the owner. */
struct peer_gate {
	uint64_t prng; /* seed of the jitter; not 0 */
	int under_way[GATE_KINDS];
	int unanswered; /* in a row */
	int64_t silent_since_us; /* while too many were unanswered */
	bool probing;
	int64_t probe_us; /* none earlier, while "unanswered" is high */
	double retries; /* that may be sent … */
	int64_t retries_us; /* … as of then; 0: not counted yet */
};

/* "again": the request was sent before. */
enum gate_verdict peer_gate_ask(
    struct peer_gate *g, int64_t now_us, enum gate_kind kind, bool again);
/*
 * What was sent by a verdict has ended: "answered" by the owner, or not, or by
 * a daemon that does not own the pool yet.
 */
void peer_gate_ended(struct peer_gate *g, int64_t now_us, enum gate_kind kind,
    enum gate_verdict sent, bool answered);
/* Nothing is under way. */
bool peer_gate_idle(const struct peer_gate *g);
/* No answer came to the newest requests. */
bool peer_gate_silent(const struct peer_gate *g);
/*
 * No answer has come for longer than a take-over takes: callers are not kept
 * waiting.
 */
bool peer_gate_gone(const struct peer_gate *g, int64_t now_us);
/*
 * Neither the owner nor another one will answer soon.  "stuck": no other daemon
 * can take over.  An owner that is only busy is waited for all the same.
 */
bool peer_gate_hopeless(const struct peer_gate *g, int64_t now_us, bool stuck);

#endif
