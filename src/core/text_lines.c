#include "text_lines.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define DEPTH_MAX 64 /* json-c accepts fewer levels */
#define PATH_BYTES 512

struct line_entry {
	char *path;
	int line;
	UT_hash_handle hh; /* by path */
};

struct text_lines {
	struct line_entry *table; /* head of the table by path */
	struct text_lines_fault *faults;
	size_t fault_count;
};

struct scanner {
	const char *at; /* next byte */
	const char *end;
	int line; /* of "at", from 1 */
	struct text_lines *lines;
	char path[PATH_BYTES]; /* of the current value */
	bool aborted; /* memory is short, or a path or the depth too long */
};

static void scan_value(struct scanner *s, int depth);

static bool
scan_at_end(const struct scanner *s)
{
	return s->aborted || s->at >= s->end;
}

static char
scan_next(struct scanner *s)
{
	char c = *s->at++;

	if (c == '\n')
		s->line++;
	return c;
}

static void
scan_comment(struct scanner *s)
{
	bool block = s->at + 1 < s->end && s->at[1] == '*';

	scan_next(s);
	if (!scan_at_end(s))
		scan_next(s);
	while (!scan_at_end(s)) {
		if (!block && *s->at == '\n')
			return;
		if (block && *s->at == '*' && s->at + 1 < s->end &&
		    s->at[1] == '/') {
			s->at += 2;
			return;
		}
		scan_next(s);
	}
}

static void
scan_space(struct scanner *s)
{
	while (!scan_at_end(s)) {
		if (*s->at == '/')
			scan_comment(s);
		else if (strchr(" \t\r\n\v\f", *s->at) != NULL)
			scan_next(s);
		else
			return;
	}
}

/* Sets *start and *len to the raw bytes between the quotes. */
static void
scan_string(struct scanner *s, const char **start, size_t *len)
{
	char quote = scan_next(s);

	*start = s->at;
	while (!scan_at_end(s) && *s->at != quote) {
		if (scan_next(s) == '\\' && !scan_at_end(s))
			scan_next(s);
	}
	*len = (size_t)(s->at - *start);
	if (!scan_at_end(s))
		scan_next(s);
}

static struct line_entry *
find_line_entry(const struct text_lines *l, const char *path)
{
	struct line_entry *e;

	HASH_FIND_STR(l->table, path, e);
	return e;
}

static void
scan_record_line(struct scanner *s)
{
	struct line_entry *e = find_line_entry(s->lines, s->path);

	if (e != NULL) {
		e->line = s->line;
		return;
	}
	e = calloc(1, sizeof(*e));
	if (e == NULL || (e->path = strdup(s->path)) == NULL) {
		free(e);
		s->aborted = true;
		return;
	}
	e->line = s->line;
	HASH_ADD_KEYPTR(hh, s->lines->table, e->path, strlen(e->path), e);
}

static void
scan_add_fault(struct scanner *s, int first_line)
{
	struct text_lines_fault *list, *fault;
	size_t n = s->lines->fault_count;

	list = realloc(s->lines->faults, (n + 1) * sizeof(*list));
	if (list == NULL) {
		s->aborted = true;
		return;
	}
	s->lines->faults = list;
	fault = &list[n];
	fault->path = strdup(s->path);
	if (fault->path == NULL) {
		s->aborted = true;
		return;
	}
	fault->line = s->line;
	fault->first_line = first_line;
	s->lines->fault_count++;
}

/* Appends the key to the path, whose first "base" bytes stay. */
static void
scan_key(struct scanner *s, size_t base)
{
	const struct line_entry *known;
	const char *key;
	size_t len;

	scan_string(s, &key, &len);
	if (len > PATH_BYTES - base - 2)
		len = PATH_BYTES - base - 2;
	s->path[base] = '/';
	memcpy(s->path + base + 1, key, len);
	s->path[base + 1 + len] = '\0';
	if (memchr(key, '\\', len) != NULL)
		scan_add_fault(s, 0);
	known = find_line_entry(s->lines, s->path);
	if (known != NULL)
		scan_add_fault(s, known->line);
}

static void
scan_object(struct scanner *s, int depth)
{
	size_t base = strlen(s->path);

	scan_next(s);
	for (;;) {
		scan_space(s);
		if (scan_at_end(s))
			return;
		if (*s->at == '}') {
			scan_next(s);
			return;
		}
		if (*s->at != '"' && *s->at != '\'') {
			scan_next(s);
			continue;
		}
		if (base + 2 >= PATH_BYTES) {
			s->aborted = true;
			return;
		}
		scan_key(s, base);
		scan_space(s);
		if (!scan_at_end(s) && *s->at == ':')
			scan_next(s);
		scan_value(s, depth + 1);
		s->path[base] = '\0';
	}
}

static void
scan_array(struct scanner *s, int depth)
{
	size_t base = strlen(s->path), i = 0;

	scan_next(s);
	for (;;) {
		scan_space(s);
		if (scan_at_end(s))
			return;
		if (*s->at == ']') {
			scan_next(s);
			return;
		}
		if (*s->at == ',') {
			scan_next(s);
			continue;
		}
		snprintf(s->path + base, PATH_BYTES - base, "/%zu", i++);
		scan_value(s, depth + 1);
		s->path[base] = '\0';
	}
}

static void
scan_value(struct scanner *s, int depth)
{
	const char *start;
	size_t len;

	scan_space(s);
	if (scan_at_end(s))
		return;
	if (depth > DEPTH_MAX) {
		s->aborted = true;
		return;
	}
	scan_record_line(s);
	if (*s->at == '{')
		scan_object(s, depth);
	else if (*s->at == '[')
		scan_array(s, depth);
	else if (*s->at == '"' || *s->at == '\'')
		scan_string(s, &start, &len);
	else {
		scan_next(s);
		while (!scan_at_end(s) &&
		    strchr(",]}/ \t\r\n\v\f", *s->at) == NULL)
			scan_next(s);
	}
}

struct text_lines *
text_lines_new(const char *source, size_t len)
{
	struct scanner s = {.at = source, .end = source + len, .line = 1};

	s.lines = calloc(1, sizeof(*s.lines));
	if (s.lines == NULL)
		return NULL;
	scan_value(&s, 0);
	return s.lines;
}

void
text_lines_free(struct text_lines *l)
{
	struct line_entry *e, *next;
	size_t i;

	if (l == NULL)
		return;
	e = l->table;
	HASH_CLEAR(hh, l->table);
	for (; e != NULL; e = next) {
		next = e->hh.next;
		free(e->path);
		free(e);
	}
	for (i = 0; i < l->fault_count; i++)
		free(l->faults[i].path);
	free(l->faults);
	free(l);
}

int
text_lines_find(const struct text_lines *l, const char *path)
{
	const struct line_entry *e;
	char parent[PATH_BYTES];
	char *slash;

	snprintf(parent, sizeof(parent), "%s", path);
	for (;;) {
		e = find_line_entry(l, parent);
		if (e != NULL)
			return e->line;
		slash = strrchr(parent, '/');
		if (slash == NULL)
			return 1;
		*slash = '\0';
	}
}

const struct text_lines_fault *
text_lines_faults(const struct text_lines *l, size_t *count)
{
	*count = l->fault_count;
	return l->faults;
}

int
text_line_at_offset(const char *source, size_t len, size_t offset)
{
	size_t i;
	int line = 1;

	for (i = 0; i < offset && i < len; i++)
		line += source[i] == '\n';
	return line;
}
