#include "path_admit.h"

#define SERVICE_TIME_DEFAULT_US (50 * US_PER_MS) /* before the first answer */
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 30000
/*
 * Share of the time before the deadline, less the service time, that an
 * admitted request may be expected to wait.
 */
#define WAIT_BUDGET_PERCENT 70

int64_t
admit_usable_slots(const struct path_service *s)
{
	const struct upstream *u;
	bool serving = false;
	int64_t n = 0;

	if (s->pool == NULL)
		return 0;
	TAILQ_FOREACH(u, &s->pool->upstreams, link) {
		if (!u->serving || u->health != UPSTREAM_HEALTHY)
			continue;
		serving = true;
		n += u->credits > 0 ? u->credits : 0;
	}
	/*
	 * Without credits, one slot can be expected from a loan. Further loans
	 * count once they are granted.
	 */
	return n == 0 && serving && s->can_borrow ? 1 : n;
}

int64_t
admit_service_time_us(const struct path_service *s, enum text_class_id class)
{
	return s->service_time_us[class] > 0 ? s->service_time_us[class]
					     : SERVICE_TIME_DEFAULT_US;
}

/* Slots that the class can expect to use, in thousandths of a slot. */
static int64_t
admit_class_slots(const struct path_service *s, enum text_class_id class)
{
	enum text_class_id other =
	    class == CLASS_QUICK ? CLASS_BATCH : CLASS_QUICK;
	int64_t total = admit_usable_slots(s) * 1000, share, reserved;

	if (s->pool == NULL || s->pool->worker_slots == 0)
		return 0;
	share = total *
	    (s->pool->worker_slots - s->text->classes[other].reserved_slots) /
	    s->pool->worker_slots;
	if (class == CLASS_QUICK)
		return share;
	/*
	 * Quick requests are served first; batch uses the slots that they
	 * leave, and at least its reserved slots.
	 */
	reserved = total * s->text->classes[class].reserved_slots /
	    s->pool->worker_slots;
	total -= s->quick_slots_milli;
	if (total < share)
		share = total;
	return share > reserved ? share : reserved;
}

int64_t
admit_expected_wait_us(const struct path_service *s, enum text_class_id class,
    const char *member, int weight)
{
	const struct class_queue *q = &s->queues[class];
	int64_t slots = admit_class_slots(s, class), total, ahead, claiming;

	if (admit_usable_slots(s) == 0)
		return INT64_MAX;
	if (slots < 100)
		slots = 100; /* at least 0.1 slot, for a finite wait */
	claiming = s->claiming_count[class];
	if (q->count + (size_t)claiming == 0)
		return 0;
	ahead = (int64_t)queue_member_length(q, member) + claiming + 1;
	total = queue_total_weight(q, member, weight);
	/*
	 * A member gets a share in proportion to its weight, until its queue is
	 * empty.
	 */
	ahead = ahead * total / (weight > 0 ? weight : 1);
	if (ahead > (int64_t)q->count + claiming + 1)
		ahead = (int64_t)q->count + claiming + 1;
	return ahead * 1000 / slots * admit_service_time_us(s, class) +
	    ahead * 1000 % slots * admit_service_time_us(s, class) / slots;
}

bool
admit_meets_deadline(const struct path_service *s, enum text_class_id class,
    int64_t wait_us, int64_t time_limit_us)
{
	int64_t budget_us = time_limit_us - admit_service_time_us(s, class);

	if (wait_us == INT64_MAX)
		return false;
	if (wait_us == 0)
		return true;
	return wait_us <= budget_us / 100 * WAIT_BUDGET_PERCENT;
}

int
admit_retry_after_ms(const struct path_service *s, enum text_class_id class,
    int64_t wait_us, int64_t time_limit_us)
{
	int64_t budget_us = time_limit_us - admit_service_time_us(s, class), ms;

	if (wait_us == INT64_MAX)
		return RETRY_AFTER_MIN_MS * 20;
	ms = (wait_us - budget_us / 100 * WAIT_BUDGET_PERCENT / 2) / US_PER_MS;
	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (int)ms;
}
