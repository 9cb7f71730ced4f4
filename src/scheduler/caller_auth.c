#include "caller_auth.h"

#include <stdio.h>
#include <string.h>

#include "daemon_log.h"
#include "job_spec_wire.h"
#include "metric.h"
#include "scheduler.h"

/*
 * A caller with a wrong key repeats it with each request; the log's own limit
 * is 400 lines a second for everything.
 */
#define LINES_MAX_PER_S 4

static const char *const outcome_names[] = {
    [CALLER_AUTH_OFF] = "off",
    [CALLER_AUTH_PUBLIC] = "public",
    [CALLER_AUTH_ACCEPTED] = "accepted",
    [CALLER_AUTH_MISSING] = "missing",
    [CALLER_AUTH_UNKNOWN] = "unknown",
    [CALLER_AUTH_TOO_LONG] = "too-long",
    [CALLER_AUTH_CONFLICTING] = "conflicting",
};

static bool
outcome_refused(enum caller_auth_outcome outcome)
{
	return outcome >= CALLER_AUTH_MISSING;
}

static enum caller_auth_outcome
check_key(const struct caller_key *key, const struct account_settings *account)
{
	switch (key->fault) {
	case HEADER_CONFLICTING:
		return CALLER_AUTH_CONFLICTING;
	case HEADER_TOO_LONG:
		return CALLER_AUTH_TOO_LONG;
	case HEADER_SOUND:
		break;
	}
	if (key->value == NULL || key->value[0] == '\0')
		return CALLER_AUTH_MISSING;
	if (strlen(key->value) > ACCOUNT_KEY_MAX_BYTES)
		return CALLER_AUTH_TOO_LONG;
	return account != NULL ? CALLER_AUTH_ACCEPTED : CALLER_AUTH_UNKNOWN;
}

struct caller_auth_decision
caller_auth_decide(const struct config_queue *q,
    const struct account_table *accounts, const struct caller_key *key)
{
	struct caller_auth_decision d = {.outcome = CALLER_AUTH_OFF};
	const struct account_settings *account;

	if (accounts == NULL)
		return d;
	if (q->public_access) {
		d.outcome = CALLER_AUTH_PUBLIC;
		return d;
	}
	account = key->value != NULL
	    ? account_table_find_key(accounts, key->value)
	    : NULL;
	d.outcome = check_key(key, account);
	if (outcome_refused(d.outcome))
		d.status = 401;
	else
		d.account = account;
	return d;
}

void
caller_auth_error(enum caller_auth_outcome outcome, struct err *e)
{
	const char *what = "is missing";

	if (outcome == CALLER_AUTH_UNKNOWN)
		what = "holds an unknown key";
	else if (outcome == CALLER_AUTH_TOO_LONG)
		what = "is too long for a key";
	else if (outcome == CALLER_AUTH_CONFLICTING)
		what = "is sent twice with different keys";
	err_set(e, ERR_REFERENCE, 0, "send one key of your account",
	    "the header " CALLER_HEADER_KEY " %s", what);
}

bool
caller_auth_count(
    struct caller_auth *a, enum caller_auth_outcome outcome, int64_t now_us)
{
	a->outcomes[outcome]++;
	if (!outcome_refused(outcome))
		return false;
	if (a->log_second != now_us / US_PER_S) {
		a->log_second = now_us / US_PER_S;
		a->lines_logged = 0;
	}
	if (a->lines_logged >= LINES_MAX_PER_S) {
		a->unlogged++;
		return false;
	}
	a->lines_logged++;
	return true;
}

static void
copy_printable(char *out, size_t size, const char *text)
{
	size_t i;

	for (i = 0; i + 1 < size && text != NULL && text[i] != '\0'; i++)
		out[i] = text[i] > ' ' && text[i] <= '~' && text[i] != '"'
		    ? text[i]
		    : '?';
	out[i] = '\0';
}

void
caller_key_prefix(char out[LOGGED_KEY_CHARS + 1], const char *key)
{
	copy_printable(out, LOGGED_KEY_CHARS + 1, key);
}

void
caller_auth_record(struct caller_auth *a, const struct caller_auth_decision *d,
    const struct caller_key *key, const char *queue, int64_t config_version)
{
	char prefix[LOGGED_KEY_CHARS + 1];

	if (!caller_auth_count(a, d->outcome, sched_monotonic_us()))
		return;
	caller_key_prefix(prefix, key->value);
	daemon_log(LOG_LEVEL_WARN, "front",
	    "msg=\"request refused: no account\" status=%d why=%s queue=%s "
	    "key_begins=%s config=%lld unlogged=%llu",
	    d->status, outcome_names[d->outcome], queue, prefix,
	    (long long)config_version, (unsigned long long)a->unlogged);
	a->unlogged = 0;
}

void
caller_auth_metrics(const struct caller_auth *a, struct buf *out)
{
	const char *help = "callers' requests by outcome of the key check";
	char labels[48];
	size_t i;

	for (i = CALLER_AUTH_PUBLIC; i < CALLER_AUTH_OUTCOMES; i++) {
		snprintf(
		    labels, sizeof(labels), "outcome=\"%s\"", outcome_names[i]);
		metric_counter(
		    out, "key_checks_total", help, labels, a->outcomes[i]);
		help = NULL;
	}
}

void
caller_auth_log_config(const struct config *c)
{
	const struct account_faults *f = &c->account_faults;
	char first[NAME_BYTES], second[NAME_BYTES];

	if (f->left_out > 0)
		daemon_log(LOG_LEVEL_WARN, "front",
		    "msg=\"accounts without a usable name left out\" "
		    "config=%lld accounts=%zu first_index=%zu",
		    (long long)c->version, f->left_out, f->first_left_out);
	copy_printable(first, sizeof(first), f->first_keys_left_out);
	if (f->keys_left_out > 0)
		daemon_log(LOG_LEVEL_WARN, "front",
		    "msg=\"malformed keys left out\" config=%lld keys=%zu "
		    "first_account=%s",
		    (long long)c->version, f->keys_left_out, first);
	copy_printable(first, sizeof(first), f->first_shared);
	copy_printable(second, sizeof(second), f->first_sharing);
	if (f->shared_keys > 0)
		daemon_log(LOG_LEVEL_WARN, "front",
		    "msg=\"keys of two accounts belong to the first of them\" "
		    "config=%lld keys=%zu account=%s other=%s",
		    (long long)c->version, f->shared_keys, first, second);
	if (f->settings_count == 0)
		return;
	copy_printable(first, sizeof(first), f->settings[0].name);
	daemon_log(LOG_LEVEL_WARN, "front",
	    "msg=\"malformed weights or caps: the values of the version before "
	    "stay in force\" config=%lld accounts=%zu first_account=%s",
	    (long long)c->version, f->settings_count, first);
}
