/*
 * Whose request it is: the account of the key that a caller sends.  The
 * decision does no I/O and reads no clock.
 */
#ifndef CALLER_AUTH_H
#define CALLER_AUTH_H

#include <stdbool.h>
#include <stdint.h>

#include "config_wire.h"
#include "errors.h"
#include "request.h"

enum caller_auth_outcome {
	CALLER_AUTH_OFF, /* the configuration has no accounts */
	CALLER_AUTH_PUBLIC, /* the queue needs no key */
	CALLER_AUTH_ACCEPTED,
	CALLER_AUTH_MISSING,
	CALLER_AUTH_UNKNOWN,
	CALLER_AUTH_TOO_LONG,
	CALLER_AUTH_CONFLICTING /* two keys */
};
#define CALLER_AUTH_OUTCOMES (CALLER_AUTH_CONFLICTING + 1)

/* The header CALLER_HEADER_KEY of a request. */
struct caller_key {
	const char *value; /* NULL: missing */
	enum header_fault fault;
};

struct caller_auth_decision {
	enum caller_auth_outcome outcome;
	int status; /* of the refusal; 0: the request is accepted */
	/* NULL: none.  Valid as long as the account table. */
	const struct account_settings *account;
};

/* "accounts" is of the configuration in force; NULL if it has none. */
struct caller_auth_decision caller_auth_decide(const struct config_queue *q,
    const struct account_table *accounts, const struct caller_key *key);
/* Fills in "e" for the answer to a refused caller. */
void caller_auth_error(enum caller_auth_outcome outcome, struct err *e);

/* Valid when zeroed. */
struct caller_auth {
	uint64_t outcomes[CALLER_AUTH_OUTCOMES];
	int64_t log_second; /* in which lines_logged were logged */
	int lines_logged;
	uint64_t unlogged; /* refusals since the last line */
};

/* Counts the decision.  True when its refusal may be logged now. */
bool caller_auth_count(
    struct caller_auth *a, enum caller_auth_outcome outcome, int64_t now_us);
/* Counts the decision and logs a refusal. */
void caller_auth_record(struct caller_auth *a,
    const struct caller_auth_decision *d, const struct caller_key *key,
    const char *queue, int64_t config_version);
void caller_auth_metrics(const struct caller_auth *a, struct buf *out);

/*
 * Copies the first characters of a key, which are safe to log, into "out";
 * unprintable ones become '?'.  "" for no key.
 */
#define LOGGED_KEY_CHARS 4
void caller_key_prefix(char out[LOGGED_KEY_CHARS + 1], const char *key);
/* Logs what is malformed in the accounts of a configuration. */
void caller_auth_log_config(const struct config *c);

#endif
