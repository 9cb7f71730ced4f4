/*
 * The platform over HTTP: routes requests to the log, the VM list and the
 * workers, holds long polls, and plays the faults that a test switches on.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include <stdint.h>

#include "errors.h"
#include "log.h"

struct platform;

struct platform_opts {
	const char *addr;
	int port;
	struct log_opts log;
	int vm_list_lag_ms;
	int usage_lag_ms;
	int reboot_ms;
	int task_ms; /* run time of every task; 0: until stopped */
	const char *vms_file; /* JSON list of VMs, NULL: none */
	uint64_t seed; /* of new incarnations */
};

struct platform *platform_new(const struct platform_opts *opts, struct err *e);
void platform_free(struct platform *p);
/* Runs until SIGTERM.  Returns the process's exit code. */
int platform_run(struct platform *p);

#endif
