/* What the process tests share: a running deployment, and raw sockets. */
#ifndef PROCESS_FIXTURE_H
#define PROCESS_FIXTURE_H

#include <criterion/criterion.h>

#include "callers.h"
#include "fleet.h"
#include "http_json.h"
#include "judge.h"

#define FIXTURE_TEXT "examples/consorcio.json"
/* Generous: the machine may be busy, and every wait ends on its condition. */
#define FIXTURE_LIMIT_MS 20000

/* Stand-ins and settings, no daemon; "platform_args" may be NULL. */
struct fleet *fixture_fleet(
    int data_centres, int daemons, const char *const *platform_args);
/* All daemons started and healthy, and the text published. */
struct fleet *fixture_running(
    int data_centres, int daemons, const char *const *platform_args);
/* Callers of payments and certificates at a modest rate. */
struct callers *fixture_callers(struct fleet *f);
/* Stops the callers, waits for every outcome and asserts the promises. */
void fixture_judge(struct callers *c, struct judgement *j);
/* One POST to the service's path at a daemon; the status, or -1. */
int fixture_post(const struct fleet *f, size_t daemon, const char *path,
    const char *body, char *outcome, size_t size);

/* Appends bytes to the control stream; takes over the reference. */
void fixture_append(const struct fleet *f, struct buf *record);

/* Sends bytes; reads until the peer closes or limit_ms.  Returns bytes. */
size_t raw_exchange(int port, const void *data, size_t len, char *out,
    size_t size, int limit_ms);

#endif
