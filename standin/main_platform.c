/* The platform's stand-in for tests and the demo. */
#include <argp.h>
#include <stdlib.h>

#include "listen.h"
#include "platform.h"

struct arguments {
	struct listen_addr listen;
	struct platform_opts opts;
};

enum {
	OPT_RETENTION = 0x100,
	OPT_RETENTION_S,
	OPT_APPEND_RATE,
	OPT_VM_LIST_LAG,
	OPT_USAGE_LAG,
	OPT_REBOOT,
	OPT_TASK,
	OPT_VMS,
	OPT_SEED
};

static const struct argp_option options[] = {
    LISTEN_OPTION,
    {"retention", OPT_RETENTION, "RECORDS", 0, "Records kept of a stream", 0},
    {"retention-s", OPT_RETENTION_S, "SECONDS", 0, "Age of kept records", 0},
    {"append-rate", OPT_APPEND_RATE, "N", 0, "Appends per second", 0},
    {"vm-list-lag-ms", OPT_VM_LIST_LAG, "MS", 0, "Lag of the VM list", 0},
    {"usage-lag-ms", OPT_USAGE_LAG, "MS", 0, "Lag of usage reports", 0},
    {"reboot-ms", OPT_REBOOT, "MS", 0, "Time of a reboot", 0},
    {"task-ms", OPT_TASK, "MS", 0, "Run time of every task", 0},
    {"vms", OPT_VMS, "FILE", 0, "First VM list, JSON", 0},
    {"seed", OPT_SEED, "N", 0, "Seed of new incarnations", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	if (listen_option(&a->listen, key, arg, state))
		return 0;
	switch (key) {
	case OPT_RETENTION:
		a->opts.log.retention_records = strtoull(arg, NULL, 10);
		break;
	case OPT_RETENTION_S:
		a->opts.log.retention_ms = strtoll(arg, NULL, 10) * MS_PER_S;
		break;
	case OPT_APPEND_RATE:
		a->opts.log.append_rate = (int)strtol(arg, NULL, 10);
		break;
	case OPT_VM_LIST_LAG:
		a->opts.vm_list_lag_ms = (int)strtol(arg, NULL, 10);
		break;
	case OPT_USAGE_LAG:
		a->opts.usage_lag_ms = (int)strtol(arg, NULL, 10);
		break;
	case OPT_REBOOT:
		a->opts.reboot_ms = (int)strtol(arg, NULL, 10);
		break;
	case OPT_TASK:
		a->opts.task_ms = (int)strtol(arg, NULL, 10);
		break;
	case OPT_VMS:
		a->opts.vms_file = arg;
		break;
	case OPT_SEED:
		a->opts.seed = strtoull(arg, NULL, 10) | 1;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option, NULL,
	    "Stand-in of the platform: log, VM list, workers and pools.", NULL,
	    NULL, NULL};
	struct arguments a = {.opts = {.vm_list_lag_ms = 500,
				  .usage_lag_ms = 500,
				  .reboot_ms = 2000,
				  .seed = 1}};
	struct platform *p;
	struct err e = {0};
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	a.opts.addr = a.listen.addr;
	a.opts.port = a.listen.port;
	p = platform_new(&a.opts, &e);
	if (p == NULL)
		return listen_failed("standin-platform", &e);
	code = platform_run(p);
	platform_free(p);
	return code;
}
