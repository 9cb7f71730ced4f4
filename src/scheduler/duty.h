/*
 * The duty of machines: the one daemon that carries out waves of upkeep and
 * moves for all, under a term and a fence of its own.
 */
#ifndef DUTY_H
#define DUTY_H

#include "scheduler.h"

struct duty;

struct duty *duty_new(struct scheduler *s);
void duty_free(struct duty *d);
/* The group's answer: whether the duty is this daemon's. */
void duty_assign(struct duty *d, bool mine, int64_t asked_boot_us);
/* Gives it up where the group has not confirmed it for long. */
void duty_check(struct duty *d);
void duty_config_changed(struct duty *d);
/* A wave's record among the operators'. */
void duty_take_wave(struct duty *d, const struct store_record *r);

#endif
