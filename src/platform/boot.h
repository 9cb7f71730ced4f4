/*
 * Settings that the users' platform gives each process: who it is, where it
 * listens, where the platform's services are and which bounds hold.
 */
#ifndef BOOT_H
#define BOOT_H

#include <stdbool.h>
#include <stdint.h>

#include "bounds.h"
#include "errors.h"

struct endpoint {
	char addr[ADDR_BYTES]; /* numeric IP; "" where there is none */
	int port;
};

struct boot {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char ip[ADDR_BYTES];
	struct endpoint callers; /* where callers' requests arrive */
	struct endpoint readiness; /* where the balancer asks */
	int peer_port; /* same on all machines of a day */
	double cores; /* of the machine, for this daemon; 0: not said */
	double link_mbps; /* of the machine; 0: not said */
	struct endpoint store;
	int store_writes_per_s; /* of all daemons together */
	int store_reads_per_s;
	int64_t store_record_bytes; /* largest record */
	int64_t store_request_bytes; /* records of one append */
	int store_parts; /* partitions of each topic */
	int group_ttl_min_ms;
	struct endpoint machines; /* machines' duties; may be missing */
	int duties_per_s; /* of all daemons together */
	struct endpoint advice; /* may be missing */
	int heartbeat_ms; /* of workers */
	int lease_max_ms; /* longest lease a worker grants */
	int stop_timeout_ms; /* of a task */
	int gang_timeout_ms;
	int grace_ms; /* from SIGTERM to SIGKILL */
	int status_keep_ms; /* a finished job's state is known this long */
	int early_ms; /* a task may start so long before its time */
	int restore_ms; /* start from a checkpoint */
	int notice_ms; /* a lasting task counts as away after this */
	int move_ms;
	int upkeep_ms;
	int harm_ms; /* a tail over its target this long is harm */
	int holder_lease_ms; /* between two holders of a machine's orders */
	double remote_factor; /* work time away from its data */
};

int boot_parse(struct boot *b, const void *data, size_t len, struct err *e);
int boot_load(struct boot *b, const char *path, struct err *e);

#endif
