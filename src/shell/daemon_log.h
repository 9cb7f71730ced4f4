/*
 * The daemon's log: log4c, set up in code (no file is read or written), lines
 * "ts=… level=… daemon=… module=… key=value …" on stderr.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include "effect.h"

/* "level": error, warn, info or debug; "daemon" must outlive the log. */
void daemon_log_open(const char *level, const char *daemon);
/*
 * From now on to standard output, which is never waited for: lines that it
 * does not take at once, and those above "lines_per_s", are counted and left
 * out.  The count stands in the next line that is written.
 */
void daemon_log_to_stdout(int lines_per_s);
void daemon_log_close(void);
void daemon_log(enum log_level level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
