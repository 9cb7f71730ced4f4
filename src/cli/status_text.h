/* Formats the answer of GET /status for people. */
#ifndef STATUS_TEXT_H
#define STATUS_TEXT_H

#include <stdio.h>

#include <json-c/json.h>

/* Prints the state. Alarms, which need an operator's attention, come first. */
void status_text_print(struct json_object *status, FILE *out);
/* Prints the alarms and returns their number. */
unsigned status_text_alarms(struct json_object *status, FILE *out);

#endif
