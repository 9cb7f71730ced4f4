/*
 * A controller of machines in virtual time beside the owners of a pool: a
 * roster, the machines' service that lists machines and carries out upkeeps
 * and moves, and the calls between the two and to the owner of the pool that a
 * world of jobs plays.  A second pool runs nothing, a third one is spare.
 */
#ifndef MACHINES_WORLD_H
#define MACHINES_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jobs_world.h"

#define MACHINES_WORLD_MACHINES 16

struct machines_world;

struct machines_world_opts {
	uint64_t seed;
	/* its workers 0 to machines - 1 are those of the pool's machines */
	struct jobs_world *jobs;
	int machines;
	int other_machines; /* of the pool that runs nothing */
	int spare_machines;
	int maintenance_ms;
	int move_ms;
	int store_ms; /* until a journal entry is stored */
	bool fenced; /* the service refuses orders of earlier controllers */
	bool trace; /* to stderr */
};

/* What goes wrong from now on; shares are 0 to 1. */
struct machines_faults {
	int slow_ms; /* a call of the service takes so much longer, at most */
	double lose_answers; /* share of orders without an answer */
	double busy; /* share of orders that are refused as busy */
	double lose_lists; /* share of lists that are not read */
	int cordon_ms; /* a call of a pool's owner takes so long, at most */
};

struct machines_world *machines_world_new(
    const struct machines_world_opts *opts);
/* Leaves the world of jobs to the caller. */
void machines_world_free(struct machines_world *w);
/* Lets so many ms pass, in the world of jobs, too. */
void machines_world_run(struct machines_world *w, int ms);
void machines_world_faults(
    struct machines_world *w, const struct machines_faults *faults);
/* An upkeep of each machine whose bit is set in "mask". */
void machines_world_wave(
    struct machines_world *w, unsigned mask, int within_ms, int max_down);
/* A wave was requested whose completion has not been published. */
bool machines_world_wave_is_open(const struct machines_world *w);
/* So many workers are wanted by the pool that runs nothing. */
void machines_world_other_wants(struct machines_world *w, int workers);
/* The controller ends; another one follows after so long. */
void machines_world_replace_controller(struct machines_world *w, int gap_ms);
/* Another owner of the pool takes over, see jobs_world_take_over(). */
void machines_world_replace_owner(struct machines_world *w, int zombie_ms);

/* Upkeeps and moves that were carried out. */
int machines_world_carried_out(const struct machines_world *w);
/* Orders that had been carried out before, and were answered 200 again. */
int machines_world_repeated(const struct machines_world *w);

#endif
