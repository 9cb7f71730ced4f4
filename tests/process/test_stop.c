/* Ends of planned stops under load, against the grace that a platform gives. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "fixture.h"
#include "job_fleet.h"
#include "job_spec_wire.h"

#define GRACE_MS 6000 /* graceS of the users' deployments */
#define LIMIT_MS 30000 /* generous: every wait ends on its condition */
#define CALLERS 500 /* kept open */
#define HANDED_OVER_MS 1000 /* pools have left a daemon that stops */
#define PAUSE_US 2000 /* between callers */

static struct job_fleet *fleet;
static int callers[CALLERS];
static bool cut_bodies; /* of callers that come from now on */

static bool
daemon_ready(void *arg)
{
	return job_fleet_ready(fleet, *(int *)arg);
}

static bool
pools_owned(void *arg)
{
	(void)arg;
	return job_fleet_owned(fleet);
}

static void
setup(void)
{
	int i;

	fleet = job_fleet_new();
	for (i = 0; i < JOB_DAEMONS; i++)
		job_fleet_start(fleet, i);
	for (i = 0; i < JOB_DAEMONS; i++)
		cr_assert(wait_until(daemon_ready, &i, LIMIT_MS));
	cr_assert(wait_until(pools_owned, NULL, LIMIT_MS));
}

static void
teardown(void)
{
	job_fleet_free(fleet);
}

/* One job more on a connection of its own; its answer may take a minute. */
static void
hand_in(size_t n)
{
	static const char body[] =
	    "{\"taskSpec\":\"w\",\"steps\":[{\"count\":1}]}";
	int len, fd = raw_connect(fleet->callers_port[0]);
	char text[512];

	if (fd == -1) /* it listens no more */
		return;
	if (callers[n % CALLERS] > 0)
		close(callers[n % CALLERS]);
	callers[n % CALLERS] = fd;
	len = snprintf(text, sizeof(text),
	    "POST /blue/%016zx HTTP/1.1\r\nhost: jobs.example\r\n"
	    "%s: 60000\r\ncontent-length: %zu\r\n\r\n%s",
	    n, CALLER_HEADER_DEADLINE, strlen(body), body);
	len -= cut_bodies;
	send(fd, text, (size_t)len, MSG_NOSIGNAL | MSG_DONTWAIT);
}

/* "owner" goes silent after silent_ms, when it has the pools; NULL: none. */
static void
expect_end_within_grace(struct proc *owner, int silent_ms)
{
	int64_t begun = clock_ms(), took;
	size_t n = 0;

	proc_signal(fleet->daemons[0], SIGTERM);
	while (proc_running(fleet->daemons[0]) &&
	    clock_ms() - begun < 2 * GRACE_MS) {
		if (owner != NULL && clock_ms() - begun > silent_ms)
			proc_signal(owner, SIGSTOP);
		hand_in(n++);
		usleep(PAUSE_US);
	}
	took = clock_ms() - begun;
	cr_expect_eq(proc_wait(fleet->daemons[0], LIMIT_MS), 0);
	cr_expect_leq(took, GRACE_MS, "%lld ms", (long long)took);
	if (owner != NULL)
		proc_signal(owner, SIGCONT);
}

Test(stop, callers_that_go_on_do_not_hold_it_up, .init = setup,
    .fini = teardown, .timeout = 60)
{
	expect_end_within_grace(NULL, 0);
}

Test(stop, bodies_that_never_end_do_not_hold_it_up, .init = setup,
    .fini = teardown, .timeout = 60)
{
	cut_bodies = true;
	expect_end_within_grace(NULL, 0);
}

Test(stop, a_new_owner_that_is_silent_does_not_hold_it_up, .init = setup,
    .fini = teardown, .timeout = 60)
{
	expect_end_within_grace(fleet->daemons[1], HANDED_OVER_MS);
}

Test(stop, owner_and_store_that_are_silent_do_not_hold_it_up, .init = setup,
    .fini = teardown, .timeout = 60)
{
	struct proc *platform = proc_find(fleet->procs, "platform");

	proc_signal(platform, SIGSTOP);
	expect_end_within_grace(fleet->daemons[1], 0);
	proc_signal(platform, SIGCONT);
}
