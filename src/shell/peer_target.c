#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "peer_link_state.h"

#define DIAL_DELAY_MIN_MS 100
#define DIAL_DELAY_MAX_MS 5000
/* interval of checks whether a linked peer must be dialled again */
#define LINK_CHECK_MS 2000
#define CONNECT_TIMEOUT_MS 3000 /* of one dial */
#define TARGETS_MAX 1024

void
peer_target_identified(struct peer_link *l)
{
	struct peer_target *t = l->dial_target;

	if (t == NULL)
		return;
	t->peer_id = l->peer_id;
	t->back_off_ms = DIAL_DELAY_MIN_MS;
	t->is_self = l->peer_id == l->peer_links->shell->daemon_id;
}

static void target_on_timer(lws_sorted_usec_list_t *sul);

static void
target_dial(struct peer_target *t)
{
	struct lws_client_connect_info ci;
	struct peer_link *l;

	l = peer_link_new(t->peer_links, NULL, t);
	if (l == NULL) {
		peer_target_schedule(t, DIAL_DELAY_MAX_MS);
		return;
	}
	t->dialled_link = l;
	t->back_off_ms = t->back_off_ms * 2 > DIAL_DELAY_MAX_MS
	    ? DIAL_DELAY_MAX_MS
	    : t->back_off_ms * 2;
	memset(&ci, 0, sizeof(ci));
	ci.context = t->peer_links->shell->context;
	ci.vhost = t->peer_links->vhost;
	ci.address = t->addr;
	ci.port = t->port;
	ci.host = t->addr;
	ci.path = "/";
	ci.method = "RAW";
	ci.local_protocol_name = t->peer_links->protocols[0].name;
	ci.opaque_user_data = l;
	ci.pwsi = &l->wsi;
	/* If the connect failed at once, a callback may have freed the link. */
	if (lws_client_connect_via_info(&ci) == NULL && t->dialled_link == l)
		peer_link_free(l);
	if (t->dialled_link == l)
		lws_sul_schedule(t->peer_links->shell->context, 0,
		    &t->dial_timer, target_on_timer,
		    CONNECT_TIMEOUT_MS * US_PER_MS);
}

static void
target_on_timer(lws_sorted_usec_list_t *sul)
{
	struct peer_target *t =
	    lws_container_of(sul, struct peer_target, dial_timer);

	if (t->peer_links->closing || t->is_self)
		return;
	if (t->dialled_link != NULL) {
		if (t->dialled_link->state == LINK_CONNECTING)
			peer_link_close(t->dialled_link);
		return;
	}
	if (t->peer_id != 0 &&
	    peer_links_find(t->peer_links, t->peer_id) != NULL) {
		peer_target_schedule(t, LINK_CHECK_MS);
		return;
	}
	target_dial(t);
}

void
peer_target_schedule(struct peer_target *t, int64_t ms)
{
	if (t->peer_links->closing || t->is_self)
		return;
	lws_sul_schedule(t->peer_links->shell->context, 0, &t->dial_timer,
	    target_on_timer, shell_jitter_us(ms));
}

static void
target_free(struct peer_target *t)
{
	TAILQ_REMOVE(&t->peer_links->targets, t, entries);
	t->peer_links->target_count--;
	lws_sul_cancel(&t->dial_timer);
	free(t);
}

/*
 * Makes room for a target. At the limit, removes the oldest address that is not
 * a seed, has no link and whose delay has reached DIAL_DELAY_MAX_MS. Returns
 * false if there is none.
 */
static bool
evict_target(struct peer_links *ls)
{
	struct peer_target *t;

	if (ls->target_count < TARGETS_MAX)
		return true;
	TAILQ_FOREACH(t, &ls->targets, entries) {
		if (!t->is_seed && t->dialled_link == NULL &&
		    t->back_off_ms == DIAL_DELAY_MAX_MS) {
			target_free(t);
			return true;
		}
	}
	return false;
}

static void
target_add(struct peer_links *ls, const char *addr, int port, bool seed)
{
	const struct settings_addr *own = &ls->shell->settings->peer;
	struct peer_target *t;

	if (port == own->port && strcmp(addr, own->addr) == 0)
		return;
	TAILQ_FOREACH(t, &ls->targets, entries) {
		if (t->port == port && strcmp(t->addr, addr) == 0)
			return;
	}
	if (!evict_target(ls))
		return;
	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return;
	t->peer_links = ls;
	snprintf(t->addr, sizeof(t->addr), "%s", addr);
	t->port = port;
	t->is_seed = seed;
	t->back_off_ms = DIAL_DELAY_MIN_MS;
	TAILQ_INSERT_TAIL(&ls->targets, t, entries);
	ls->target_count++;
	peer_target_schedule(t, DIAL_DELAY_MIN_MS);
}

void
peer_links_add_seed(struct peer_links *ls, const struct settings_addr *a)
{
	target_add(ls, a->addr, a->port, true);
}

void
peer_links_add_address(struct peer_links *ls, const char *addr, int port)
{
	target_add(ls, addr, port, false);
}

void
peer_targets_free(struct peer_links *ls)
{
	struct peer_target *t;

	while ((t = TAILQ_FIRST(&ls->targets)) != NULL)
		target_free(t);
}
