#include "candidacy.h"

#include <stdio.h>
#include <string.h>

#include "bounds.h"
#include "json_get.h"

/*
 * What an owner of some 90 workers takes up while its queue surges: 1,700
 * starts a second at 100 us, each with up to 4 KB of the caller's text.
 */
#define ABLE_CORES 0.2
#define ABLE_LINK_MBPS 50.0
/* Longer than a member that died is kept by the group: 2 s. */
#define STAND_IN_MS 2500
#define MARK_STANDS_BY "/s" /* behind a member that is not able */

void
candidacy_init(struct candidacy *c, const struct machine_size *size)
{
	memset(c, 0, sizeof(*c));
	c->able = (size->cores == 0 || size->cores >= ABLE_CORES) &&
	    (size->link_mbps == 0 || size->link_mbps >= ABLE_LINK_MBPS);
	c->stands = c->able;
}

void
candidacy_heard(struct candidacy *c, int64_t now_us, bool able_seen)
{
	if (able_seen)
		c->none_since_us = 0;
	else if (c->none_since_us == 0)
		c->none_since_us = now_us;
}

bool
candidacy_stands(struct candidacy *c, int64_t now_us)
{
	if (c->able)
		return true;
	if (c->none_since_us == 0)
		c->stands = false;
	else if (now_us - c->none_since_us >= STAND_IN_MS * US_PER_MS)
		c->stands = true;
	return c->stands;
}

void
member_format(char out[MEMBER_BYTES], const char *ip, int port, bool able)
{
	snprintf(
	    out, MEMBER_BYTES, "%s:%d%s", ip, port, able ? "" : MARK_STANDS_BY);
}

bool
member_parse(const char *member, char *addr, size_t size, int *port, bool *able)
{
	char text[MEMBER_BYTES];
	char *mark;

	snprintf(text, sizeof(text), "%s", member);
	mark = strstr(text, MARK_STANDS_BY);
	if (able != NULL)
		*able = mark == NULL;
	if (mark != NULL)
		*mark = '\0';
	return addr_split(text, addr, size, port);
}
