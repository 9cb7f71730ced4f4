/*
 * Fields about shares of accounts' caps in the messages between the controller
 * and owners: "shares" of a request and "accounts" of its answer.  Arrays
 * rather than maps, as there may be thousands of entries.
 */
#ifndef CAP_WIRE_H
#define CAP_WIRE_H

#include "cap_share.h"
#include "wire.h"

#define CAP_REQUEST_KEY "shares"
#define CAP_REPORT_KEY "accounts"

void cap_request_write(struct wire_writer *w, const struct cap_request *r);
/*
 * False if the message has no such field or it is malformed; there is nothing
 * to free then.  Otherwise free it with cap_request_uninit().
 */
bool cap_request_read(const msgpack_object *root, struct cap_request *r);
void cap_report_write(struct wire_writer *w, const struct cap_report *r);
/* The same, with cap_report_uninit(). */
bool cap_report_read(const msgpack_object *root, struct cap_report *r);

#endif
