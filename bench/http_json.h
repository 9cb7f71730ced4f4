/* Blocking HTTP calls with JSON for tests and the demo. */
#ifndef HTTP_JSON_H
#define HTTP_JSON_H

#include <json-c/json.h>

#include "request.h"

#define HTTP_JSON_TIMEOUT_MS 5000

/*
 * One call to 127.0.0.1.  Returns the answer's status, or -1 where there was
 * no whole answer.  "body" may be NULL; *out (may be NULL) is the parsed
 * answer, or NULL, and belongs to the caller.
 */
int http_json(int port, const char *method, const char *path, const char *body,
    struct json_object **out);
/* As http_json() with headers; *answer is a reference, or NULL. */
int http_raw(int port, const char *method, const char *path,
    const struct headers *headers, const char *body, struct answer **answer);
/* A connection to 127.0.0.1, or -1. */
int raw_connect(int port);
/* A listening socket on 127.0.0.1, whose port is set; or -1. */
int raw_listen(int *port);
/* An object's integer or string, through a '/'-separated path. */
int64_t json_int(struct json_object *o, const char *path, int64_t missing);
const char *json_string(struct json_object *o, const char *path);
struct json_object *json_at(struct json_object *o, const char *path);

#endif
