#include "metric.h"

#include <inttypes.h>

static void
metric_write_header(
    struct buf *out, const char *name, const char *help, const char *type)
{
	if (help == NULL)
		return;
	buf_printf(out, "# HELP mimosalead_%s %s\n", name, help);
	buf_printf(out, "# TYPE mimosalead_%s %s\n", name, type);
}

static void
metric_write_name(struct buf *out, const char *name, const char *labels)
{
	buf_printf(out, "mimosalead_%s", name);
	if (labels[0] != '\0')
		buf_printf(out, "{%s}", labels);
}

void
metric_counter(struct buf *out, const char *name, const char *help,
    const char *labels, uint64_t value)
{
	metric_write_header(out, name, help, "counter");
	metric_write_name(out, name, labels);
	buf_printf(out, " %" PRIu64 "\n", value);
}

void
metric_gauge(struct buf *out, const char *name, const char *help,
    const char *labels, int64_t value)
{
	metric_write_header(out, name, help, "gauge");
	metric_write_name(out, name, labels);
	buf_printf(out, " %" PRId64 "\n", value);
}
