#include "errors.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

int
err_set(struct err *e, enum err_kind kind, int line, const char *remedy,
    const char *fmt, ...)
{
	va_list ap;

	if (e == NULL)
		return -1;
	e->kind = kind;
	e->line = line;
	va_start(ap, fmt);
	vsnprintf(e->message, sizeof(e->message), fmt, ap);
	va_end(ap);
	snprintf(e->remedy, sizeof(e->remedy), "%s", remedy);
	return -1;
}

void
err_clear(struct err *e)
{
	memset(e, 0, sizeof(*e));
}

const char *
err_kind_name(enum err_kind kind)
{
	switch (kind) {
	case ERR_NONE:
		return "none";
	case ERR_SYNTAX:
		return "syntax";
	case ERR_UNKNOWN_KEY:
		return "unknown-key";
	case ERR_TYPE:
		return "type";
	case ERR_RANGE:
		return "range";
	case ERR_REFERENCE:
		return "reference";
	case ERR_DUPLICATE:
		return "duplicate";
	case ERR_LIMIT:
		return "limit";
	case ERR_VERSION:
		return "version";
	case ERR_PROTOCOL:
		return "protocol";
	case ERR_IO:
		return "io";
	case ERR_TIMEOUT:
		return "timeout";
	case ERR_MEMORY:
		return "memory";
	}
	return "none";
}
