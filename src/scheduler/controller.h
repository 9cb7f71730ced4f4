/*
 * The controller of machines.  One daemon of the group runs it for all pools:
 * it moves machines between pools and carries out maintenance waves.  Like a
 * pool's owner it claims a term, with a fence of its own.
 */
#ifndef CONTROLLER_H
#define CONTROLLER_H

#include "scheduler.h"

struct controller;

struct controller *controller_new(struct scheduler *s);
void controller_free(struct controller *ctl);
/*
 * Applies the group's answer to a join that was sent at "join_sent_boot_us":
 * starts the controller where it is assigned to this daemon, else stops it.
 */
void controller_assign(
    struct controller *ctl, bool assigned, int64_t join_sent_boot_us);
/* Stops the controller where the group has not confirmed it in time. */
void controller_check(struct controller *ctl);
void controller_config_changed(struct controller *ctl);
void controller_metrics(const struct controller *ctl, struct buf *out);
/*
 * Adds a wave that operators have requested, from its record.  All daemons
 * collect the waves, so that each can become the controller.
 */
void controller_add_wave(struct controller *ctl, const struct store_record *r);

#endif
