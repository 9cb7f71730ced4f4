/* Size limits of all inputs; docs/CONFIG.md lists them too. */
#ifndef BOUNDS_H
#define BOUNDS_H

#define NAME_BYTES 40 /* names of VMs, pools, services, members, with NUL */
#define ADDR_BYTES 48 /* numeric IP address, with NUL */
#define BODY_MAX_BYTES (1024 * 1024) /* a request's body, else 413 */
#define HEADERS_MAX_BYTES 8192 /* a request's headers, else 431 */
#define ANSWER_MAX_BYTES (4 * 1024 * 1024) /* an upstream's answer */
#define FRAME_MAX_BYTES (2 * 1024 * 1024) /* a peer frame */
#define RECORD_MAX_BYTES (256 * 1024) /* one log record */
#define TEXT_MAX_BYTES (1024 * 1024) /* an operators' text */
#define KEY_MAX_BYTES 128 /* an Idempotency-Key, with NUL */

#define US_PER_MS INT64_C(1000)
#define US_PER_S INT64_C(1000000)
#define MS_PER_S INT64_C(1000)

#endif
