/* Reads the system's clocks. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>
#include <time.h>

/* Returns microseconds since the clock's epoch. */
int64_t clock_read_us(clockid_t id);

#endif
