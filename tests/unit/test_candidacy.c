/* Which machines own pools, where the group knows no sizes. */
#include <criterion/criterion.h>

#include "bounds.h"
#include "candidacy.h"

static const struct machine_size small = {.cores = 0.12, .link_mbps = 20};
static const struct machine_size usual = {.cores = 0.25, .link_mbps = 1000};
static const struct machine_size unsaid = {0};

/*
 * Four of five pools lay on machines of 0.12 core and 20 Mbit/s, while 15 of
 * 0.5 core and 200 Mbit/s owned nothing.
 */
Test(candidacy, small_machines_stand_by_while_an_able_one_is_there)
{
	struct candidacy c;
	int64_t now;

	candidacy_init(&c, &small);
	for (now = US_PER_S; now < 60 * US_PER_S; now += US_PER_S) {
		candidacy_observe(&c, now, true);
		cr_expect_not(candidacy_joins_group(&c, now));
	}
}

Test(candidacy, they_step_in_when_the_able_ones_are_lost)
{
	struct candidacy c;

	candidacy_init(&c, &small);
	candidacy_observe(&c, US_PER_S, true);
	candidacy_observe(&c, 2 * US_PER_S, false);
	cr_expect_not(candidacy_joins_group(&c, 4 * US_PER_S));
	candidacy_observe(&c, 4 * US_PER_S, false);
	cr_expect(candidacy_joins_group(&c, 5 * US_PER_S));
	/* and give way when one is back */
	candidacy_observe(&c, 6 * US_PER_S, true);
	cr_expect_not(candidacy_joins_group(&c, 6 * US_PER_S));
}

/* Without word of the group nothing changes: the store may be away. */
Test(candidacy, silence_changes_nothing)
{
	struct candidacy c;

	candidacy_init(&c, &small);
	cr_expect_not(candidacy_joins_group(&c, 100 * US_PER_S));
	candidacy_observe(&c, US_PER_S, false);
	cr_assert(candidacy_joins_group(&c, 4 * US_PER_S));
	cr_expect(candidacy_joins_group(&c, 60 * US_PER_S));
}

Test(candidacy, machines_of_the_usual_size_own_pools)
{
	struct candidacy c;

	candidacy_init(&c, &usual);
	cr_expect(candidacy_joins_group(&c, 0));
	candidacy_init(&c, &unsaid);
	cr_expect(candidacy_joins_group(&c, 0));
}

Test(candidacy, a_member_names_its_address_and_size)
{
	char member[MEMBER_BYTES], addr[ADDR_BYTES];
	bool able;
	int port;

	member_format(member, "10.1.0.9", 7060, true);
	cr_expect_str_eq(member, "10.1.0.9:7060");
	cr_assert(member_parse(member, addr, sizeof(addr), &port, &able));
	cr_expect(able);
	member_format(member, "10.1.0.9", 7060, false);
	cr_assert(member_parse(member, addr, sizeof(addr), &port, &able));
	cr_expect_str_eq(addr, "10.1.0.9");
	cr_expect_eq(port, 7060);
	cr_expect_not(able);
	cr_expect_not(member_parse("", addr, sizeof(addr), &port, NULL));
}
