/*
 * State that the modules of the daemon around the reducer share. Private to
 * these modules.
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
	uint64_t daemon_id;
	uint64_t incarnation;
	/*
	 * Callers_max of the settings, or fewer if the limit of open files is
	 * low.
	 */
	int callers_max;
	bool stopping; /* a planned stop has begun */
	bool reducer_stopped; /* the reducer has finished the planned stop */
	struct caller_server *callers;
	struct admin_server *admin;
	struct upstreams *upstreams;
	struct peer_links *links;
	struct platform_client *platform;
};

/*
 * Stamps the event with the clocks, passes it to the reducer and carries out
 * the effects. If called while effects are carried out, it queues a copy of the
 * event, which may then hold no pointers.
 */
void shell_handle_event(struct shell *sh, struct event *ev);
int64_t shell_monotonic_us(void); /* monotonic clock */
/* Returns "ms" in microseconds with a random spread of 25 % either way. */
int64_t shell_jitter_us(int64_t ms);

#endif
