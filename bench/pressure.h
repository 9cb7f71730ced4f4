/*
 * A load that exceeds a pool's capacity, in virtual time: surges of the queue,
 * and one account that sends several times its usual for some seconds.  What
 * callers of each account get is judged as docs/design/client-accounts.md has
 * it ("Value to callers").
 */
#ifndef PRESSURE_H
#define PRESSURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PRESSURE_ACCOUNTS 20

/* Which selection the pool makes. */
enum pressure_mode {
	PRESSURE_BY_RANK, /* no accounts: the order without selection */
	PRESSURE_BY_COST, /* no accounts: all jobs are one account's */
	PRESSURE_BY_ACCOUNT
};

struct pressure_opts {
	enum pressure_mode mode;
	uint64_t seed;
	double hot_factor; /* load of the hot account, relative to its usual */
	bool judge_all; /* also what an account sends beyond its weight */
};

struct pressure_class {
	double value, owed; /* obtained, and of all jobs that are owed */
	size_t jobs, in_time, refused, unserved;
};

struct pressure_result {
	struct pressure_class all, hot, large, small;
	struct pressure_class accounts[PRESSURE_ACCOUNTS];
	double worst_tenth; /* mean share of value of the worst accounts */
	double step_us; /* processor time of the reducer */
	int64_t longest_wait_ms; /* of a job that was accepted */
	char broken[160]; /* a broken promise; "": none */
};

double pressure_share(const struct pressure_class *c);
void pressure_play(const struct pressure_opts *opts, struct pressure_result *r);

#endif
