/*
 * Parts of the daemon around the reducer: what its modules share.  Only the
 * modules of the shell include this.
 */
#ifndef SHELL_H
#define SHELL_H

#include <stdbool.h>
#include <stdint.h>

#include <libwebsockets.h>

#include "daemon_log.h"
#include "effect.h"
#include "event.h"
#include "settings.h"
#include "step.h"

struct admin_server;
struct caller_server;
struct peer_links;
struct platform_client;
struct upstreams;

struct shell {
	const struct settings *settings;
	struct lws_context *context;
	struct core *core;
	uint64_t daemon_id; /* of this daemon */
	uint64_t incarnation;
	int callers_max; /* the setting, or what descriptors allow */
	bool stopping; /* planned stop has begun */
	bool reducer_stopped; /* the reducer has nothing left to do */
	struct caller_server *callers;
	struct admin_server *admin;
	struct upstreams *upstreams;
	struct peer_links *links;
	struct platform_client *platform;
};

/*
 * Stamps the event with the clocks, gives it to the reducer and carries out
 * the effects.  May be called while effects are carried out: the event then
 * waits its turn, and may not hold pointers.
 */
void shell_handle_event(struct shell *sh, struct event *ev);
int64_t shell_monotonic_us(void); /* monotonic clock */
/* "ms" with 25 % of random spread either way. */
int64_t shell_jitter_us(int64_t ms);

#endif
