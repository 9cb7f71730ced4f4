/*
 * Admission on arrival: what can't have its answer by its deadline is
 * refused at once, with a Retry-After from the rate at which its queue drains.
 */
#ifndef PATH_ADMIT_H
#define PATH_ADMIT_H

#include <stdint.h>

#include "path_priv.h"

/* Slots of the service's pool that this daemon may use now. */
int64_t admit_usable_slots(const struct path_service *s);
/* Smoothed time of one request of a class at an upstream. */
int64_t admit_service_time_us(
    const struct path_service *s, enum text_class_id class);
/* Expected wait of a member's next request; INT64_MAX: no slots at all. */
int64_t admit_expected_wait_us(const struct path_service *s,
    enum text_class_id class, const char *member, int weight);
/* Time until that wait leaves room for "deadline_us" (relative) again. */
int admit_retry_after_ms(const struct path_service *s, enum text_class_id class,
    int64_t wait_us, int64_t deadline_us);
/* True where a request that arrives now can be answered in time. */
bool admit_meets_deadline(const struct path_service *s,
    enum text_class_id class, int64_t wait_us, int64_t deadline_us);

#endif
