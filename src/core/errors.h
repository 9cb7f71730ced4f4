/*
 * Typed errors.  A function that can fail takes a "struct err *" as its last
 * argument; on failure it fills it in and returns -1 or NULL.  The message
 * describes the error, the remedy what the user can do about it.
 */
#ifndef ERRORS_H
#define ERRORS_H

#include <stddef.h>

#define ERR_MESSAGE_BYTES 192
#define ERR_REMEDY_BYTES 192

enum err_kind {
	ERR_NONE = 0,
	ERR_SYNTAX, /* input is not well-formed */
	ERR_UNKNOWN_KEY, /* key that this version does not support */
	ERR_TYPE, /* value of the wrong JSON or msgpack type */
	ERR_RANGE, /* value outside its limits */
	ERR_REFERENCE, /* reference to an undefined name */
	ERR_DUPLICATE, /* name that is defined twice */
	ERR_LIMIT, /* input larger than its limit */
	ERR_VERSION, /* unsupported protocol or format version */
	ERR_PROTOCOL, /* malformed message of a peer or the platform */
	ERR_IO, /* socket or file operation failed */
	ERR_TIMEOUT, /* no answer within the time limit */
	ERR_MEMORY /* allocation failed */
};

struct err {
	enum err_kind kind;
	int line; /* line of the input, from 1; 0: none */
	char message[ERR_MESSAGE_BYTES];
	char remedy[ERR_REMEDY_BYTES];
};

/* Fills in "e", which may be NULL, and returns -1. */
int err_set(struct err *e, enum err_kind kind, int line, const char *remedy,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
void err_clear(struct err *e);
/* Name of a kind in log lines, e.g. "unknown-key". */
const char *err_kind_name(enum err_kind kind);

#endif
