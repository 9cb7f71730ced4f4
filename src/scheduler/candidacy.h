/*
 * Decides whether a daemon joins the group that owns pools.  The group assigns
 * pools evenly and does not consider machine sizes.  Machines that are too
 * small for a pool are therefore standby members: they join only while the
 * group has no eligible member.  No I/O and no clock.
 */
#ifndef CANDIDACY_H
#define CANDIDACY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store_wire.h"

/* What the machine provides to this daemon; 0 where settings do not say. */
struct machine_size {
	double cores; /* CPU share, in cores */
	double link_mbps;
};

struct candidacy {
	bool eligible; /* large enough to own any pool */
	bool joins_group; /* last result of candidacy_joins_group() */
	/*
	 * Time of the first of the latest consecutive reads that showed no
	 * eligible member; 0 if the last read showed one, or before the first
	 * read.
	 */
	int64_t no_eligible_since_us;
};

void candidacy_init(struct candidacy *c, const struct machine_size *size);
/*
 * Records a read of the group's members.  "eligible_seen" is whether at least
 * one of them is eligible.
 */
void candidacy_observe(struct candidacy *c, int64_t now_us, bool eligible_seen);
/* Whether the daemon is to be in the group; updates "joins_group". */
bool candidacy_joins_group(struct candidacy *c, int64_t now_us);

/* Formats a member's name: its address for peers, marked where not eligible. */
void member_format(
    char out[MEMBER_BYTES], const char *ip, int port, bool eligible);
/* False where "member" is not a member's name; "eligible" may be NULL. */
bool member_parse(
    const char *member, char *addr, size_t size, int *port, bool *eligible);

#endif
