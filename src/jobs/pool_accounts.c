/* Accounts of a pool: their settings, and what their tasks occupy. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

struct pool_account *
pool_account_get(struct pool *p, const char *name)
{
	struct pool_account *a;

	if (name[0] == '\0')
		return NULL;
	HASH_FIND_STR(p->accounts, name, a);
	if (a != NULL)
		return a;
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		abort(); /* a job would run outside its account's cap */
	snprintf(a->settings.name, sizeof(a->settings.name), "%s", name);
	a->settings.weight = 1;
	LIST_INIT(&a->share.unplaced_runs);
	HASH_ADD_STR(p->accounts, settings.name, a);
	return a;
}

/*
 * The jobs of an account that was removed run on, with what the configuration
 * said of it last.
 */
void
pool_account_change(struct pool *p, const struct pool_event *ev)
{
	const struct account_settings *s = ev->u.account_change.settings;
	struct pool_account *a = pool_account_get(p, s->name);

	if (a == NULL)
		return;
	p->configured_accounts -= a->configured;
	a->configured = !ev->u.account_change.removed;
	p->configured_accounts += a->configured;
	if (a->configured)
		a->settings = *s;
	caps_settings_changed(p, a);
	p->placement_due = true;
}

const char *
job_account_name(const struct job *j)
{
	return j->account != NULL ? j->account->settings.name : "";
}

static void
add_usage(const struct task *t, int sign)
{
	struct pool_account *a = t->step->occurrence->job->account;
	struct account_cap size = step_spec_cap_size(t->step->spec);

	if (a != NULL)
		cap_add(&a->usage, &size, sign);
}

void
account_note_placed(const struct task *t)
{
	add_usage(t, 1);
}

void
account_note_detached(const struct task *t)
{
	add_usage(t, -1);
}

void
pool_accounts_free(struct pool *p)
{
	struct pool_account *a, *next;

	HASH_ITER(hh, p->accounts, a, next)
	{
		HASH_DEL(p->accounts, a);
		account_unplaced_free(a);
		free(a);
	}
}
