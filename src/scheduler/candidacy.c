#include "candidacy.h"

#include <stdio.h>
#include <string.h>

#include "bounds.h"
#include "json_get.h"

/*
 * Load of an owner of some 90 workers during a surge of its queue: 1,700
 * starts a second, each with 100 us of CPU time and up to 4 KB of the caller's
 * text.
 */
#define ELIGIBLE_CORES_MIN 0.2
#define ELIGIBLE_LINK_MBPS_MIN 50.0
/* Longer than the 2 s for which the group lists a member that has died. */
#define STANDBY_JOIN_DELAY_MS 2500
#define STANDBY_SUFFIX "/s" /* of the name of a member that is not eligible */

void
candidacy_init(struct candidacy *c, const struct machine_size *size)
{
	memset(c, 0, sizeof(*c));
	c->eligible = (size->cores == 0 || size->cores >= ELIGIBLE_CORES_MIN) &&
	    (size->link_mbps == 0 || size->link_mbps >= ELIGIBLE_LINK_MBPS_MIN);
	c->joins_group = c->eligible;
}

void
candidacy_observe(struct candidacy *c, int64_t now_us, bool eligible_seen)
{
	if (eligible_seen)
		c->no_eligible_since_us = 0;
	else if (c->no_eligible_since_us == 0)
		c->no_eligible_since_us = now_us;
}

bool
candidacy_joins_group(struct candidacy *c, int64_t now_us)
{
	if (c->eligible)
		return true;
	if (c->no_eligible_since_us == 0)
		c->joins_group = false;
	else if (now_us - c->no_eligible_since_us >=
	    STANDBY_JOIN_DELAY_MS * US_PER_MS)
		c->joins_group = true;
	return c->joins_group;
}

void
member_format(char out[MEMBER_BYTES], const char *ip, int port, bool eligible)
{
	snprintf(out, MEMBER_BYTES, "%s:%d%s", ip, port,
	    eligible ? "" : STANDBY_SUFFIX);
}

bool
member_parse(
    const char *member, char *addr, size_t size, int *port, bool *eligible)
{
	char text[MEMBER_BYTES];
	char *suffix;

	snprintf(text, sizeof(text), "%s", member);
	suffix = strstr(text, STANDBY_SUFFIX);
	if (eligible != NULL)
		*eligible = suffix == NULL;
	if (suffix != NULL)
		*suffix = '\0';
	return addr_split(text, addr, size, port);
}
