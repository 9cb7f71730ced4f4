/* Members of the group around an outage of the store, in virtual time. */
#include <string.h>

#include <criterion/criterion.h>

#include "bounds.h"
#include "join_pace.h"

#define MEMBERS 8
#define PARTS 8
#define ANSWER_MS 10
#define OUTAGE_MS 6500
#define TAKEOVER_MS 150 /* of a pool of some hundred jobs */

struct member {
	struct join_pace pace;
	int64_t due_ms; /* the next join … */
	int64_t answer_ms; /* … and the answer to one that was sent; 0: none */
	int64_t sent_ms;
	int64_t back_ms; /* first answer after the outage */
	int tries; /* in the outage */
};

static struct member members[MEMBERS];

static int64_t
whole_ms(int64_t us)
{
	return (us + US_PER_MS - 1) / US_PER_MS;
}

/* The store answers nothing from "down_ms" until "up_ms". */
static void
play(int answer_ms, int64_t down_ms, int64_t up_ms, int64_t until_ms)
{
	struct member *m;
	int64_t ms;
	bool down;

	memset(members, 0, sizeof(members));
	for (m = members; m < members + MEMBERS; m++)
		m->due_ms = 61 * (m - members);
	for (ms = 0; ms < until_ms; ms++) {
		down = ms >= down_ms && ms < up_ms;
		for (m = members; m < members + MEMBERS; m++) {
			if (m->answer_ms == ms && ms > 0 && !down) {
				m->answer_ms = 0;
				m->due_ms = ms +
				    whole_ms(join_pace_answered(&m->pace,
					(ms - m->sent_ms) * US_PER_MS, false));
				if (ms >= up_ms && m->back_ms == 0)
					m->back_ms = ms;
			}
			if (m->due_ms != ms)
				continue;
			m->tries += down;
			if (!down && m->answer_ms <= ms) {
				m->sent_ms = ms;
				m->answer_ms = ms + answer_ms;
			}
			m->due_ms = ms + whole_ms(join_pace_sent(&m->pace));
		}
	}
}

/* Pools were dealt three to four times within 5 s of an outage. */
Test(join_pace, members_are_back_before_the_first_has_taken_pools_over)
{
	int64_t first = INT64_MAX, last = 0;
	struct member *m;

	play(ANSWER_MS, 3000, 3000 + OUTAGE_MS, 3000 + OUTAGE_MS + 2000);
	for (m = members; m < members + MEMBERS; m++) {
		cr_assert_gt(m->back_ms, 0);
		if (m->back_ms < first)
			first = m->back_ms;
		if (m->back_ms > last)
			last = m->back_ms;
	}
	cr_expect_leq(
	    last - first, TAKEOVER_MS + 50, "%d ms", (int)(last - first));
	cr_expect_leq(last, 3000 + OUTAGE_MS + 250, "%d ms",
	    (int)(last - 3000 - OUTAGE_MS));
}

/* A join counts as a tenth of a call: half a call a second and member. */
Test(join_pace, a_store_that_is_away_is_asked_five_times_a_second)
{
	struct member *m;

	play(ANSWER_MS, 3000, 3000 + OUTAGE_MS, 3000 + OUTAGE_MS);
	for (m = members; m < members + MEMBERS; m++)
		cr_expect_leq(m->tries, OUTAGE_MS / 200 + 3, "%d", m->tries);
}

Test(join_pace, a_store_that_answers_is_joined_twice_a_second)
{
	struct join_pace p = {0};
	int i;

	for (i = 0; i < 10; i++) {
		cr_expect_gt(join_pace_sent(&p), 3 * ANSWER_MS * US_PER_MS);
		cr_expect_eq(
		    join_pace_answered(&p, ANSWER_MS * US_PER_MS, false),
		    500 * US_PER_MS);
	}
	join_pace_sent(&p);
	cr_expect_leq(
	    join_pace_answered(&p, ANSWER_MS * US_PER_MS, true), US_PER_MS);
}

/* As the store deals: a part moves on when its holder has joined again. */
struct group {
	bool in[MEMBERS];
	int holder[PARTS]; /* -1: nobody */
	int wanted[PARTS];
	int64_t generation;
	int64_t seen[MEMBERS];
	bool held[MEMBERS][PARTS]; /* as the members know */
};

static struct group group;

static void
deal(void)
{
	int part, m = -1;

	for (part = 0; part < PARTS; part++) {
		do
			m = (m + 1) % MEMBERS;
		while (!group.in[m]);
		group.wanted[part] = m;
	}
	group.generation++;
}

/* Returns whether the generation is new to the member. */
static bool
join(int m)
{
	bool changed;
	int part;

	if (!group.in[m]) {
		group.in[m] = true;
		deal();
	}
	changed = group.seen[m] != group.generation;
	for (part = 0; part < PARTS; part++) {
		if (group.holder[part] == m && group.wanted[part] != m &&
		    !changed)
			group.holder[part] = -1;
		if (group.holder[part] == -1 && group.wanted[part] == m)
			group.holder[part] = m;
		group.held[m][part] =
		    group.holder[part] == m && group.wanted[part] == m;
	}
	group.seen[m] = group.generation;
	return changed;
}

static bool
owned(int part)
{
	int m;

	for (m = 0; m < MEMBERS; m++) {
		if (group.held[m][part])
			return true;
	}
	return false;
}

/* Each time a member came, pools were nobody's for up to half a second. */
Test(join_pace, a_pool_on_the_move_is_without_a_holder_only_briefly)
{
	int without_ms[PARTS] = {0}, joins = 0, m, part;
	int64_t ms;

	play(ANSWER_MS, 0, 0, 1);
	memset(&group, 0, sizeof(group));
	for (part = 0; part < PARTS; part++)
		group.holder[part] = -1;
	for (m = 0; m < MEMBERS; m++)
		members[m].due_ms = m < MEMBERS - 1 ? 61 * m : 5000;
	for (ms = 0; ms < 8000; ms++) {
		for (m = 0; m < MEMBERS; m++) {
			if (members[m].due_ms != ms)
				continue;
			joins += ms >= 5000;
			join_pace_sent(&members[m].pace);
			members[m].due_ms = ms + ANSWER_MS +
			    whole_ms(join_pace_answered(&members[m].pace,
				ANSWER_MS * US_PER_MS, join(m)));
		}
		for (part = 0; part < PARTS && ms >= 5000; part++)
			without_ms[part] += !owned(part);
	}
	for (part = 0; part < PARTS; part++)
		cr_expect_leq(
		    without_ms[part], TAKEOVER_MS, "%d", without_ms[part]);
	/* joins of the three seconds: a tenth of a call each */
	cr_expect_leq(joins, MEMBERS * (6 + 2 * 10), "%d", joins);
}
