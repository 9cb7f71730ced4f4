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

struct job_fleet {
	struct procs *procs;
	struct proc *daemons[JOB_DAEMONS]; /* NULL until started */
	int platform_port;
	int callers_port[JOB_DAEMONS], ready_port[JOB_DAEMONS];
	int peer_port[JOB_DAEMONS];
};

/* The stand-in alone, with a configuration; exits where it does not start. */
struct job_fleet *job_fleet_new(void);
void job_fleet_free(struct job_fleet *f);
void job_fleet_start(struct job_fleet *f, int daemon);
/* The daemon answers /readiness with 200. */
bool job_fleet_ready(const struct job_fleet *f, int daemon);
/* Both daemons reach an owner of each pool. */
bool job_fleet_owned(const struct job_fleet *f);
/* A record of the operators'; the stand-in's status. */
int job_fleet_put(const struct job_fleet *f, const char *topic, const char *key,
    const char *value);
/* One request of a caller; the status, or -1 where there was no answer. */
int job_fleet_call(const struct job_fleet *f, int daemon, const char *method,
    const char *path, const char *body, char *out, size_t size);
/* What the stand-in has counted; -1 where it does not say. */
int64_t job_fleet_judged(const struct job_fleet *f, const char *what);

#endif
