/*
 * The daemon's log. Writes lines of the form "ts=… level=… daemon=… module=…
 * key=value …" to stderr through log4c, which is set up in code and reads no
 * configuration file.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include "effect.h"

/* "level" is error, warn, info or debug. "daemon" must outlive the log. */
void daemon_log_open(const char *level, const char *daemon);
/*
 * Switches the log to stdout, in non-blocking mode. Lines that stdout does not
 * accept at once, and those above "lines_per_s", are dropped. The next line
 * written reports how many.
 */
void daemon_log_to_stdout(int lines_per_s);
void daemon_log_close(void);
void daemon_log(enum log_level level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Replaces control characters, so that a name in a line cannot begin another.
 */
void log_line_clean(char *line);

#endif
