/*
 * Admission control on arrival. A request that is not expected to have its
 * answer by its deadline is refused at once, with a Retry-After computed from
 * the rate at which its queue drains.
 */
#ifndef PATH_ADMIT_H
#define PATH_ADMIT_H

#include <stdint.h>

#include "path_priv.h"

/*
 * Slots of the service's pool that this daemon may use now, slots in use
 * included; 1 where it has none but may borrow.
 */
int64_t admit_usable_slots(const struct path_service *s);
/*
 * Moving average of the time that an upstream takes for one request of a class,
 * or a default before the first answer.
 */
int64_t admit_service_time_us(
    const struct path_service *s, enum text_class_id class);
/*
 * Expected wait of a member's next request; INT64_MAX where the pool has no
 * usable slot.
 */
int64_t admit_expected_wait_us(const struct path_service *s,
    enum text_class_id class, const char *member, int weight);
/*
 * Time after which the expected wait should be down to half of the longest wait
 * that is admitted. "time_limit_us" is the time from arrival to the deadline.
 */
int admit_retry_after_ms(const struct path_service *s, enum text_class_id class,
    int64_t wait_us, int64_t time_limit_us);
/*
 * True where a request that arrives now can be answered by its deadline, given
 * its expected wait and the time from arrival to the deadline, "time_limit_us".
 */
bool admit_meets_deadline(const struct path_service *s,
    enum text_class_id class, int64_t wait_us, int64_t time_limit_us);

#endif
