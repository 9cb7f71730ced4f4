/*
 * A daemon's own settings: JSON with comments, every key checked, one table
 * that drives reading, help and checks.
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
	struct settings_addr listen; /* callers */
	struct settings_addr admin; /* operators */
	struct settings_addr peer; /* other daemons */
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
	int stop_linger_ms; /* answers "leaving" before the process ends */
};

/* Returns -1 with the first error; "s" then holds nothing to free. */
int settings_parse(
    struct settings *s, const char *source, size_t len, struct err *e);
int settings_load(struct settings *s, const char *file, struct err *e);
void settings_uninit(struct settings *s);
/* Every key with its default, limits and meaning, for --help. */
void settings_help(FILE *out);
/* The same as Markdown. */
void settings_document(FILE *out);

/* Splits "IP:PORT" or "[IP]:PORT"; -1 where it is neither. */
int settings_addr_parse(struct settings_addr *out, const char *s);
/*
 * Reads a whole file of up to max + 1 bytes, so that a longer one shows.
 * Returns NUL-terminated bytes to free, or NULL with "e" filled.
 */
char *settings_read_file(const char *file, size_t max, size_t *len, struct err *e);

#endif
