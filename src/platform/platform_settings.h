/*
 * Settings that the platform gives each daemon: its identity, the addresses it
 * listens on, the platform's services and limits.
 */
#ifndef PLATFORM_SETTINGS_H
#define PLATFORM_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "bounds.h"
#include "errors.h"

struct endpoint {
	char addr[ADDR_BYTES]; /* numeric IP; "" if there is none */
	int port;
};

struct platform_settings {
	char name[NAME_BYTES]; /* of this daemon's machine */
	char data_centre[NAME_BYTES];
	char ip[ADDR_BYTES];
	struct endpoint caller_endpoint; /* listens for callers' requests */
	struct endpoint readiness_endpoint; /* listens for the balancer */
	int peer_port; /* equal on all machines of a deployment */
	double cores; /* of the machine, usable by this daemon; 0: unknown */
	double link_mbps; /* of the machine; 0: unknown */
	struct endpoint store_endpoint;
	int store_writes_per_s; /* limit for all daemons together */
	int store_reads_per_s; /* limit for all daemons together */
	int64_t store_record_max_bytes; /* size of a record */
	int64_t store_append_max_bytes; /* size of all records of an append */
	int store_partition_count; /* of each topic */
	int group_ttl_min_ms; /* shortest TTL of a member that is allowed */
	struct endpoint machines_endpoint; /* machine service; optional */
	int machine_commands_per_s; /* limit for all daemons together */
	struct endpoint advice_endpoint; /* policy service; optional */
	int worker_heartbeat_ms;
	/* Calm that the users require before they hold a daemon to its bounds.
	 */
	int calm_ms;
	int lease_max_ms; /* longest lease that a worker grants */
	int task_stop_timeout_ms;
	int gang_timeout_ms;
	int shutdown_grace_ms; /* from SIGTERM to SIGKILL */
	int job_status_retention_ms; /* after the job has finished */
	int start_early_max_ms; /* how long before its time a task may start */
	int checkpoint_restore_ms; /* time to start from a checkpoint */
	/* a long-running task counts as away after this time */
	int absence_grace_ms;
	int move_ms; /* duration of a machine's move */
	int maintenance_ms; /* duration of a machine's maintenance */
	int latency_violation_ms; /* tail latency above its target this long */
	/* another controller may take over when this has expired */
	int controller_lease_ms;
	/* a stored configuration applies after this time at the latest ... */
	int config_apply_ms;
	int max_stretch_ms; /* ... and this later if the whole store is out */
	/* run time away from the data, relative to run time near it */
	double remote_data_factor;
};

int platform_settings_parse(
    struct platform_settings *s, const void *data, size_t len, struct err *e);
int platform_settings_load(
    struct platform_settings *s, const char *path, struct err *e);

#endif
