/*
 * A daemon's own settings: JSON with comments. One table of keys drives
 * parsing, checks and help.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stddef.h>
#include <stdio.h>

#include "bounds.h"
#include "errors.h"

#define SETTINGS_LIST_MAX 64

struct settings_addr {
	char addr[ADDR_BYTES]; /* numeric IP */
	int port;
};

struct settings {
	char name[NAME_BYTES]; /* unique among all daemons */
	char data_centre[NAME_BYTES];
	struct settings_addr listen; /* for callers */
	struct settings_addr admin; /* for operators */
	struct settings_addr peer; /* for other daemons */
	struct settings_addr peers[SETTINGS_LIST_MAX]; /* seeds to dial */
	size_t peer_count;
	struct settings_addr platform;
	char log_level[16]; /* error, warn, info, debug */
	char *forward_headers[SETTINGS_LIST_MAX]; /* lower case */
	size_t forward_header_count;
	int body_max_bytes;
	int callers_max; /* open connections of callers */
	int platform_timeout_ms;
	int log_wait_ms; /* long poll of the log */
	int vm_list_poll_ms;
	int tick_ms;
	/* time in which a stopped daemon still answers "leaving" */
	int stop_linger_ms;
};

/* Returns -1 with the first error; "s" then holds nothing to free. */
int settings_parse(
    struct settings *s, const char *source, size_t len, struct err *e);
int settings_load(struct settings *s, const char *file, struct err *e);
void settings_uninit(struct settings *s);
/* Prints every key with its default, limits and meaning, for --help. */
void settings_help(FILE *out);
/* Prints every key as Markdown. */
void settings_document(FILE *out);

/* Parses "IP:PORT" or "[IP]:PORT"; returns -1 if it is neither. */
int settings_addr_parse(struct settings_addr *out, const char *s);
/*
 * Reads a whole file. Reads at most max + 1 bytes, so that the caller can
 * detect a longer file. Returns NUL-terminated bytes to free, or NULL with "e"
 * filled.
 */
char *settings_read_file(
    const char *file, size_t max, size_t *len, struct err *e);

#endif
