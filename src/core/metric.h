/*
 * Writes metrics in the Prometheus text exposition format.  Each module has
 * its own counters and writes them with these functions.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>

#include "buf.h"

/*
 * Append one sample to "out".  "labels" is the text between the braces, e.g.
 * "class=\"quick\"", or "".  "help" is written before the sample; it is NULL
 * for further samples of the same metric.  The prefix "mimosalead_" is added
 * to the name.
 */
void metric_counter(struct buf *out, const char *name, const char *help,
    const char *labels, uint64_t value);
void metric_gauge(struct buf *out, const char *name, const char *help,
    const char *labels, int64_t value);

#endif
