#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOB_ID_DIGITS 16
/* Clocks of daemons and workers, which may step, differ by less. */
#define CLOCK_STEP_MAX_MS 60000

bool
worker_report_from_future(const struct worker_report *r, int64_t now_ms)
{
	return r->started_ms > now_ms + CLOCK_STEP_MAX_MS;
}

void
renewal_report_uninit(struct renewal_report *r)
{
	free(r->running);
	free(r->ended);
	buf_unref(r->texts);
	memset(r, 0, sizeof(*r));
}

void
task_name_format(const struct task_name *n, char *out, size_t size)
{
	snprintf(
	    out, size, "%s.%u.%u.%u", n->job, n->occurrence, n->step, n->index);
}

/* Reads ".NUMBER" and advances "text"; false if there is none. */
static bool
read_number(const char **text, unsigned *out)
{
	const char *s = *text;
	char *end;
	unsigned long n;

	if (s[0] != '.' || s[1] < '0' || s[1] > '9')
		return false;
	n = strtoul(s + 1, &end, 10);
	if (n > UINT32_MAX)
		return false;
	*out = (unsigned)n;
	*text = end;
	return true;
}

bool
task_name_parse(struct task_name *n, const char *text)
{
	if (strcspn(text, ".") != JOB_ID_DIGITS)
		return false;
	memcpy(n->job, text, JOB_ID_DIGITS);
	n->job[JOB_ID_DIGITS] = '\0';
	text += JOB_ID_DIGITS;
	return read_number(&text, &n->occurrence) &&
	    read_number(&text, &n->step) && read_number(&text, &n->index) &&
	    *text == '\0';
}
