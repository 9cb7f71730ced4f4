/*
 * Whether a daemon offers itself as an owner of pools.  The group deals evenly
 * and knows no sizes: machines that are too small for a pool stand by, and
 * step in where no larger one is left.  No I/O and no clock.
 */
#ifndef CANDIDACY_H
#define CANDIDACY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store_wire.h"

/* What a machine gives its daemon; 0: the settings do not say. */
struct machine_size {
	double cores; /* share of a core */
	double link_mbps;
};

struct candidacy {
	bool eligible; /* to own a pool whatever its size */
	bool joins_group; /* in the group */
	int64_t no_eligible_since_us; /* no able member seen; 0: one was, or
					 unknown */
};

void candidacy_init(struct candidacy *c, const struct machine_size *size);
/* The group's holders were heard: "able_seen": one of them is able. */
void candidacy_observe(struct candidacy *c, int64_t now_us, bool able_seen);
/* Whether to be in the group; "stands" is brought up to date. */
bool candidacy_joins_group(struct candidacy *c, int64_t now_us);

/* Name of a member: its address for peers, and whether it is able. */
void member_format(char out[MEMBER_BYTES], const char *ip, int port, bool able);
/* False where the name is none; "able" may be NULL. */
bool member_parse(
    const char *member, char *addr, size_t size, int *port, bool *able);

#endif
