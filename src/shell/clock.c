#include "clock.h"

#include "bounds.h"

int64_t
clock_read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}
