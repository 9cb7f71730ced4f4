#ifndef PERCENT_ENCODE_H
#define PERCENT_ENCODE_H

#include <stddef.h>

/* Encodes a value of a query; cuts it when it does not fit. */
void percent_encode(char *out, size_t size, const char *text);

#endif
