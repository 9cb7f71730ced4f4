/*
 * The duty of machines: the one daemon that carries out waves of upkeep and
 * moves for all, under a term and a fence of its own.
 */
#ifndef CONTROLLER_H
#define CONTROLLER_H

#include "scheduler.h"

struct controller;

struct controller *controller_new(struct scheduler *s);
void controller_free(struct controller *d);
/* The group's answer: whether the duty is this daemon's. */
void controller_assign(struct controller *d, bool mine, int64_t asked_boot_us);
/* Gives it up where the group has not confirmed it for long. */
void controller_check(struct controller *d);
void controller_config_changed(struct controller *d);
/* A wave's record among the operators'. */
void controller_add_wave(struct controller *d, const struct store_record *r);

#endif
