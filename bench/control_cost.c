#include "control_cost.h"

#include <stdio.h>

#include "bounds.h"
#include "control_bench.h"
#include "fold.h"
#include "view.h"

#define FRAME_HEADER_BYTES 64 /* header and TCP, roughly */
#define WORKERS 60
#define RUN_US (900 * US_PER_S)
#define STEP_US (10 * US_PER_S)
#define FAILURE_PPM 20000 /* of the steps */

/* Bytes of frames that belong to the control path, as the driver counts. */
static void
count_frames(struct sim *s, unsigned node, const struct effect *x, void *arg)
{
	uint64_t *bytes = arg;

	(void)s;
	(void)node;
	if (x->kind == EFFECT_PEER_SEND &&
	    (x->u.peer_send.kind < FRAME_CREDIT_REQUEST ||
		x->u.peer_send.kind >= FRAME_LEAVING))
		*bytes += FRAME_HEADER_BYTES + x->u.peer_send.payload->len;
}

static void
one_step(struct sim *s, uint64_t *version)
{
	char vm[32];

	*version = sim_publish(s, bench_text(NULL), *version);
	if (prng_below(sim_prng(s), 1000000) < FAILURE_PPM) {
		snprintf(vm, sizeof(vm), "w%u",
		    (unsigned)prng_below(sim_prng(s), WORKERS));
		sim_vm_die(s, vm);
		sim_run_until(s, sim_now(s) + STEP_US / 2);
		sim_vm_replace(s, vm);
	}
	sim_run_until(s, sim_now(s) + STEP_US);
}

void
control_cost_run(struct control_cost *cost)
{
	struct sim_opts o;
	struct sim_totals before;
	const struct sim_totals *after;
	struct sim *s;
	uint64_t version, control = 0;
	double seconds, each;

	sim_opts_default(&o);
	o.daemons = 6;
	o.tick_us = 100 * US_PER_MS;
	s = sim_new(&o);
	bench_workers(s, WORKERS, 4);
	sim_run_until(s, 5 * US_PER_S);
	version = sim_publish(s, bench_text(NULL), 0);
	sim_run_until(s, sim_now(s) + STEP_US);
	before = *sim_totals(s);
	sim_on_effect(s, count_frames, &control);
	seconds = (double)sim_now(s) / US_PER_S;
	while (sim_now(s) < RUN_US)
		one_step(s, &version);
	after = sim_totals(s);
	seconds = (double)sim_now(s) / US_PER_S - seconds;
	each = seconds * sim_nodes(s);
	cost->appends_per_s =
	    (double)(after->appends - before.appends) / seconds;
	cost->append_bytes_per_s =
	    (double)(after->append_bytes - before.append_bytes) / seconds;
	cost->read_bytes_per_s =
	    (double)(after->read_bytes - before.read_bytes) / each;
	cost->frames_per_s = (double)(after->frames - before.frames) / each;
	cost->frame_bytes_per_s =
	    (double)(after->frame_bytes - before.frame_bytes) / each;
	cost->control_frame_bytes_per_s = (double)control / each;
	sim_free(s);
}
