#include "daemon_log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#define LINE_BYTES 512
#define TIME_BYTES 32

static const char *daemon_name = "";
static log4c_category_t *category;

static const int priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const level_names[] = {
    [LOG_LEVEL_ERROR] = "error",
    [LOG_LEVEL_WARN] = "warn",
    [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_DEBUG] = "debug",
};

static const char *
priority_name(int priority)
{
	size_t i;

	for (i = 0; i < sizeof(priorities) / sizeof(priorities[0]); i++) {
		if (priorities[i] == priority)
			return level_names[i];
	}
	return "info";
}

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
	static char line[LINE_BYTES + 192];
	char stamp[TIME_BYTES];
	struct tm tm;

	(void)layout;
	gmtime_r(&ev->evt_timestamp.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(line, sizeof(line), "ts=%s.%03ldZ level=%s daemon=%s %s\n",
	    stamp, (long)ev->evt_timestamp.tv_usec / 1000,
	    priority_name(ev->evt_priority), daemon_name, ev->evt_msg);
	return line;
}

/*
 * Rate-limited, non-blocking output to stdout. A lines_per_s of 0 disables it:
 * the log then goes to stderr.
 */
static struct {
	int lines_per_s;
	/* wall-clock second in which "lines" were written */
	time_t second;
	int lines;
	unsigned long long dropped;
} rate_limit;

/*
 * Counts a line against the limit of the current second. Returns false if it is
 * to be dropped. Module "pool" logs each run, so its lines without a warning
 * may use only three quarters of the limit; the rest is reserved for warnings
 * and for lines on owners, workers and stores.
 */
static bool
rate_limit_admit(enum log_level level, const char *module)
{
	time_t now = time(NULL);
	int limit = rate_limit.lines_per_s;

	if (strcmp(module, "pool") == 0 && level >= LOG_LEVEL_INFO)
		limit -= limit / 4;

	if (now != rate_limit.second) {
		rate_limit.second = now;
		rate_limit.lines = 0;
	}
	if (rate_limit.lines >= limit) {
		rate_limit.dropped++;
		return false;
	}
	rate_limit.lines++;
	return true;
}

static int
write_stdout_nonblocking(const char *line)
{
	char out[LINE_BYTES + 256];
	size_t len = strlen(line);
	int n;

	n = rate_limit.dropped > 0
	    ? snprintf(out, sizeof(out), "%.*s left_out=%llu\n",
		  (int)(len > 0 ? len - 1 : 0), line, rate_limit.dropped)
	    : snprintf(out, sizeof(out), "%s", line);
	if (n >= (int)sizeof(out))
		n = (int)sizeof(out) - 1;
	if (write(STDOUT_FILENO, out, (size_t)n) == n)
		rate_limit.dropped = 0;
	else
		rate_limit.dropped++;
	return 0;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
	(void)appender;
	if (rate_limit.lines_per_s > 0)
		return write_stdout_nonblocking(ev->evt_rendered_msg);
	return fputs(ev->evt_rendered_msg, stderr);
}

static const log4c_layout_type_t layout_type = {
    .name = "key-value",
    .format = format_line,
};

static const log4c_appender_type_t appender_type = {
    .name = "plain-stderr",
    .append = append_line,
};

static int
level_priority(const char *level)
{
	size_t i;

	for (i = 0; i < sizeof(priorities) / sizeof(priorities[0]); i++) {
		if (strcmp(level_names[i], level) == 0)
			return priorities[i];
	}
	return LOG4C_PRIORITY_INFO;
}

void
daemon_log_open(const char *level, const char *daemon)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	daemon_name = daemon;
	layout = log4c_layout_get("mimosalead");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("mimosalead");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("mimosalead");
	log4c_category_set_additivity(category, 0);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, level_priority(level));
}

void
daemon_log_to_stdout(int lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags != -1)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	rate_limit.lines_per_s = lines_per_s;
}

void
daemon_log_close(void)
{
	category = NULL;
	log4c_fini();
}

void
log_line_clean(char *line)
{
	for (; *line != '\0'; line++) {
		if ((unsigned char)*line < ' ' || *line == '\x7f')
			*line = '?';
	}
}

void
daemon_log(enum log_level level, const char *module, const char *fmt, ...)
{
	char text[LINE_BYTES];
	va_list ap;
	int n;

	if (category == NULL ||
	    !log4c_category_is_priority_enabled(category, priorities[level]))
		return;
	/*
	 * Check the limit before formatting: during a surge most lines are
	 * dropped.
	 */
	if (rate_limit.lines_per_s > 0 && !rate_limit_admit(level, module))
		return;
	n = snprintf(text, sizeof(text), "module=%s ", module);
	va_start(ap, fmt);
	vsnprintf(text + n, sizeof(text) - (size_t)n, fmt, ap);
	va_end(ap);
	log_line_clean(text);
	log4c_category_log(category, priorities[level], "%s", text);
}
