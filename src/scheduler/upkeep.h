/*
 * Waves of upkeep and moves of machines between pools: duties that one
 * daemon carries out for all, by fenced calls to the platform.
 */
#ifndef UPKEEP_H
#define UPKEEP_H

#include "scheduler.h"

struct upkeep;

struct upkeep *upkeep_new(struct scheduler *s);
void upkeep_free(struct upkeep *u);
/* A wave's record among the operators'. */
void upkeep_take_wave(struct upkeep *u, const struct store_record *r);

#endif
