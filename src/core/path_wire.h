/* Encoding of requests and answers in payloads of peer frames. */
#ifndef PATH_WIRE_H
#define PATH_WIRE_H

#include "request.h"
#include "wire.h"

/*
 * Writes an entry "key" of a map. A missing answer is written as an empty map,
 * a missing body as an empty string.
 */
void path_wire_put_answer(
    struct wire_writer *w, const char *key, const struct answer *a);
/*
 * Returns a new reference, or NULL where the entry is missing, empty or
 * malformed.
 */
struct answer *path_wire_get_answer(const msgpack_object *map, const char *key);
void path_wire_put_request(
    struct wire_writer *w, const char *key, const struct request *r);
struct request *path_wire_get_request(
    const msgpack_object *map, const char *key);
/* Approximate size of an answer in a frame. */
size_t path_wire_answer_bytes(const struct answer *a);

#endif
