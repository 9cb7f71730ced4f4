/* Parser of JSON with comments, with the line of each syntax error. */
#include "text_keys.h"

#include <stdlib.h>
#include <string.h>

/* True if "s" holds only white space and complete comments. */
static bool
is_blank(const char *s, size_t len)
{
	size_t i = 0;

	while (i < len) {
		if (strchr(" \t\r\n", s[i]) != NULL && s[i] != '\0') {
			i++;
			continue;
		}
		if (s[i] != '/' || i + 1 >= len)
			return false;
		if (s[i + 1] == '/') {
			while (i < len && s[i] != '\n')
				i++;
			continue;
		}
		if (s[i + 1] != '*')
			return false;
		for (i += 2; i + 1 < len; i++) {
			if (s[i] == '*' && s[i + 1] == '/')
				break;
		}
		if (i + 1 >= len)
			return false;
		i += 2;
	}
	return true;
}

static void
add_syntax_error(
    struct text_errors *errors, int line, const char *remedy, const char *what)
{
	struct err e = {0};

	err_set(&e, ERR_SYNTAX, line, remedy, "not JSON: %s", what);
	text_errors_add(errors, &e);
}

/* Rejects what json-c accepts: too many bytes, and NUL bytes. */
static int
check_bytes(const char *source, size_t len, size_t max_bytes,
    struct text_errors *errors)
{
	struct err e = {0};
	const char *nul;

	if (len > max_bytes) {
		err_set(&e, ERR_LIMIT, 0, "split or shorten the document",
		    "%zu bytes, at most %zu", len, max_bytes);
		text_errors_add(errors, &e);
		return -1;
	}
	nul = memchr(source, '\0', len);
	if (nul == NULL)
		return 0;
	add_syntax_error(errors,
	    text_line_at_offset(source, len, (size_t)(nul - source)),
	    "remove the NUL byte", "a NUL byte");
	return -1;
}

static struct json_object *
parse_json(const char *source, size_t len, struct text_errors *errors)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *root;
	enum json_tokener_error code;
	size_t end;

	if (tok == NULL)
		return NULL;
	json_tokener_set_flags(tok, JSON_TOKENER_VALIDATE_UTF8);
	/* The terminating NUL is passed on to end a number at the root. */
	root = json_tokener_parse_ex(tok, source, (int)len + 1);
	code = json_tokener_get_error(tok);
	end = json_tokener_get_parse_end(tok);
	json_tokener_free(tok);
	if (code == json_tokener_continue ||
	    code == json_tokener_error_parse_eof)
		add_syntax_error(errors, text_line_at_offset(source, len, len),
		    "close every quote, bracket and comment",
		    "it ends too early");
	else if (code != json_tokener_success)
		add_syntax_error(errors, text_line_at_offset(source, len, end),
		    "correct this line; commas and quotes are the usual causes",
		    json_tokener_error_desc(code));
	else if (end < len && !is_blank(source + end, len - end))
		add_syntax_error(errors, text_line_at_offset(source, len, end),
		    "remove what follows the last bracket",
		    "something follows the end");
	else if (!json_object_is_type(root, json_type_object))
		add_syntax_error(errors, 1, "write one object: { … }",
		    "the root is no object");
	else
		return root;
	json_object_put(root);
	return NULL;
}

static void
add_key_faults(const struct text_lines *lines, struct text_errors *errors)
{
	const struct text_lines_fault *f;
	struct err e = {0};
	size_t n, i;

	f = text_lines_faults(lines, &n);
	for (i = 0; i < n; i++) {
		if (f[i].first_line == 0)
			err_set(&e, ERR_SYNTAX, f[i].line,
			    "write the key without '\\'",
			    "key \"%.80s\" holds an escape", f[i].path + 1);
		else
			err_set(&e, ERR_DUPLICATE, f[i].line,
			    "remove one of the two",
			    "key \"%.80s\" stands twice, first on line %d",
			    f[i].path + 1, f[i].first_line);
		text_errors_add(errors, &e);
	}
}

struct json_object *
keys_parse(const char *source, size_t len, size_t max_bytes,
    struct text_errors *errors, struct text_lines **lines)
{
	struct json_object *root;
	char *copy;

	if (check_bytes(source, len, max_bytes, errors) == -1)
		return NULL;
	copy = malloc(len + 1);
	if (copy == NULL)
		return NULL;
	memcpy(copy, source, len);
	copy[len] = '\0';
	root = parse_json(copy, len, errors);
	free(copy);
	if (root == NULL)
		return NULL;
	*lines = text_lines_new(source, len);
	if (*lines == NULL) {
		json_object_put(root);
		return NULL;
	}
	add_key_faults(*lines, errors);
	return root;
}
