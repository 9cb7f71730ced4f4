/* Reading of the system's clocks. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>
#include <time.h>

/* µs on the clock, from its own epoch. */
int64_t clock_read_us(clockid_t id);

#endif
