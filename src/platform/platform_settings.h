/*
 * Settings that the users' platform gives each process: who it is, where it
 * listens, where the platform's services are and which bounds hold.
 */
#ifndef PLATFORM_SETTINGS_H
#define PLATFORM_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "bounds.h"
#include "errors.h"

struct endpoint {
	char addr[ADDR_BYTES]; /* numeric IP; "" where there is none */
	int port;
};

struct platform_settings {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char ip[ADDR_BYTES];
	struct endpoint caller_endpoint; /* where callers' requests arrive */
	struct endpoint readiness_endpoint; /* where the balancer asks */
	int peer_port; /* same on all machines of a day */
	double cores; /* of the machine, for this daemon; 0: not said */
	double link_mbps; /* of the machine; 0: not said */
	struct endpoint store_endpoint;
	int store_writes_per_s; /* of all daemons together */
	int store_reads_per_s;
	int64_t store_record_max_bytes; /* largest record */
	int64_t store_append_max_bytes; /* records of one append */
	int store_partition_count; /* partitions of each topic */
	int group_ttl_min_ms;
	struct endpoint
	    machines_endpoint; /* machines' duties; may be missing */
	int machine_commands_per_s; /* of all daemons together */
	struct endpoint advice_endpoint; /* may be missing */
	int worker_heartbeat_ms; /* of workers */
	int lease_max_ms; /* longest lease a worker grants */
	int task_stop_timeout_ms; /* of a task */
	int gang_timeout_ms;
	int shutdown_grace_ms; /* from SIGTERM to SIGKILL */
	int job_status_retention_ms; /* a finished job's state is known this
					long */
	int start_early_max_ms; /* a task may start so long before its time */
	int checkpoint_restore_ms; /* start from a checkpoint */
	int absence_grace_ms; /* a lasting task counts as away after this */
	int move_ms;
	int maintenance_ms;
	int latency_violation_ms; /* a tail over its target this long is harm
				   */
	int controller_lease_ms; /* between two holders of a machine's orders */
	double remote_data_factor; /* work time away from its data */
};

int platform_settings_parse(
    struct platform_settings *b, const void *data, size_t len, struct err *e);
int platform_settings_load(
    struct platform_settings *b, const char *path, struct err *e);

#endif
