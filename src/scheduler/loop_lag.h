/* Delay of the event loop: how late its timers are called. */
#ifndef LOOP_LAG_H
#define LOOP_LAG_H

#include <stdint.h>

#include <libwebsockets.h>

struct loop_lag {
	struct lws_context *context;
	lws_sorted_usec_list_t probe_sul;
	int64_t due_us; /* of the next probe; monotonic, as the loop's timers */
	int64_t lag_us; /* moving average of the probes' delay */
	/* Longest delay lately: halves with each probe that is less late. */
	int64_t peak_us;
};

void loop_lag_start(struct loop_lag *l, struct lws_context *context);
void loop_lag_stop(struct loop_lag *l);

#endif
