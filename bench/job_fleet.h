/*
 * The scheduler of jobs as processes: two daemons and the stand-in of the
 * users' platform with four workers in each of two pools, for tests and the
 * demo.
 */
#ifndef JOB_FLEET_H
#define JOB_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proc.h"

#define JOB_DAEMONS 2
#define JOB_DAEMONS_MAX 48
#define JOB_FLEET_ROUTES_BYTES 2048
#define JOB_FLEET_MEMBERS_BYTES 4096

struct job_fleet {
	struct procs *procs;
	struct proc *daemons[JOB_DAEMONS_MAX]; /* NULL until started */
	int daemon_count;
	int platform_port;
	int callers_port[JOB_DAEMONS_MAX], ready_port[JOB_DAEMONS_MAX];
	int peer_port[JOB_DAEMONS_MAX];
	int store_port[JOB_DAEMONS_MAX]; /* where a daemon finds the platform */
	bool own_addresses; /* see job_fleet_opts */
	int record_bytes; /* limit of the store */
	const char *config_members; /* see job_fleet_opts; may change */
	char caller_key[64]; /* sent by job_fleet_call(); "": none */
};

struct job_fleet_opts {
	int daemons;
	int platform_port;
	struct procs *procs; /* of the fleet from now on; NULL: new ones */
	const char *const *platform_args; /* more of them; ends with NULL */
	/*
	 * As on the platform, daemon i has an address of its own,
	 * 127.0.0.(i+1), with one peer port for all; and a port of its own at
	 * the store.
	 */
	bool own_addresses;
	int record_bytes; /* limit of the store; 0: the usual one */
	/* Further members of the configuration, e.g. ",\"a\":1"; or NULL. */
	const char *config_members;
};

/* The stand-in alone, with a configuration; exits where it does not start. */
struct job_fleet *job_fleet_new(void);
struct job_fleet *job_fleet_new_with(const struct job_fleet_opts *o);
/* The settings of a daemon, as job_fleet_start() writes them. */
void job_fleet_settings(const struct job_fleet *f, int daemon);
void job_fleet_free(struct job_fleet *f);
void job_fleet_start(struct job_fleet *f, int daemon);
/* Starts all and waits for them, as below. */
bool job_fleet_start_all(struct job_fleet *f, int limit_ms);
/* False if not all are ready, or do not own the pools, in time. */
bool job_fleet_wait_serving(struct job_fleet *f, int limit_ms);
/* Hands a job in at any daemon until it is accepted; the newest status. */
int job_fleet_submit(
    const struct job_fleet *f, const char *path, const char *body);
/* The first daemon shows the job as completed before "limit_ms" are over. */
bool job_fleet_wait_completed(
    const struct job_fleet *f, const char *path, int limit_ms);
/* The daemon answers /readiness with 200. */
bool job_fleet_ready(const struct job_fleet *f, int daemon);
/* Both daemons reach an owner of each pool. */
bool job_fleet_owned(const struct job_fleet *f);
/*
 * The store answers this daemon with the status, or not at all with 0, and
 * serves the others; 200: it is served again.  For own_addresses.
 */
int job_fleet_turn_away(const struct job_fleet *f, int daemon, int status);
/* A record of the operators'; the stand-in's status. */
int job_fleet_put(const struct job_fleet *f, const char *topic, const char *key,
    const char *value);
/* A configuration with more routes: "" or ",{..}"; the stand-in's status. */
int job_fleet_configure(
    const struct job_fleet *f, int version, const char *routes);
/* One request of a caller; the status, or -1 where there was no answer. */
int job_fleet_call(const struct job_fleet *f, int daemon, const char *method,
    const char *path, const char *body, char *out, size_t size);
/* What the stand-in has counted; -1 where it does not say. */
int64_t job_fleet_judged(const struct job_fleet *f, const char *what);

#endif
