#include "percent_encode.h"

#include <stdio.h>

void
percent_encode(char *out, size_t size, const char *text)
{
	size_t n = 0;

	for (; *text != '\0' && n + 3 < size; text++) {
		if ((*text >= '0' && *text <= '9') ||
		    (*text >= 'a' && *text <= 'z') ||
		    (*text >= 'A' && *text <= 'Z') || *text == '-' ||
		    *text == '.' || *text == '_')
			out[n++] = *text;
		else
			n += (size_t)snprintf(
			    out + n, size - n, "%%%02X", (unsigned char)*text);
	}
	out[n] = '\0';
}
