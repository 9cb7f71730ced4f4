/*
 * Gets the operators' configuration from other daemons while the store does
 * not serve this one, and answers daemons that ask.  Active where the
 * configuration has accounts, and while there is none.  config_trust.h decides;
 * this module does the I/O.
 */
#ifndef CONFIG_RELAY_H
#define CONFIG_RELAY_H

#include "config_trust.h"
#include "scheduler.h"

struct config_relay;

struct config_relay *config_relay_new(struct scheduler *s);
/* Call before lws_context_destroy().  Accepts NULL. */
void config_relay_free(struct config_relay *r);

/*
 * Calls that need a key may be taken: no accounts are configured, or the
 * configuration is known to be current.
 */
bool config_relay_trusts(struct config_relay *r);

/* A read of the operators' topic was sent. */
void config_relay_read_started(struct config_relay *r, int long_poll_ms);
/* "sent_us": boot time at which it, or its scan's first page, was sent. */
void config_relay_read_ended(
    struct config_relay *r, enum config_read_end end, int64_t sent_us);
/* Another configuration is in force. */
void config_relay_config_changed(struct config_relay *r);

/* A daemon that can be asked; the own address is ignored. */
void config_relay_add_peer(struct config_relay *r, const struct endpoint *at);
/* A peer has called from this address; all daemons use the same peer port. */
void config_relay_heard_from(struct config_relay *r, const char *addr);
/*
 * A peer has shown the version of its configuration; 0: it did not.  Accepts
 * NULL.
 */
void config_relay_version_seen(
    struct config_relay *r, const struct endpoint *at, int64_t version);
/*
 * Version to show to peers with replies; 0: none, as the configuration has no
 * accounts.
 */
int64_t config_relay_shown_version(const struct scheduler *s);
/* Answers a peer's request; NULL where it is malformed or memory is short. */
struct buf *config_relay_answer(
    struct config_relay *r, const struct buf *request);

void config_relay_metrics(const struct config_relay *r, struct buf *out);

#endif
