#include "boot.h"

#include <stdio.h>
#include <string.h>

#include "json_get.h"

#define BOOT_MAX_BYTES (256 * 1024)

static int
parse_endpoint(
    struct json_object *o, const char *key, struct endpoint *p, struct err *e)
{
	if (field_addr(o, key, p->addr, sizeof(p->addr), &p->port))
		return 0;
	p->addr[0] = '\0';
	return err_set(e, ERR_TYPE, 0, "give it as \"IP:PORT\"",
	    "settings lack the address \"%s\"", key);
}

static int
parse_listen(struct boot *b, struct json_object *root, struct err *e)
{
	struct json_object *listen, *range;

	listen = field_member(root, "listen", json_type_object);
	range = field_member(root, "portRange", json_type_array);
	if (listen == NULL || range == NULL ||
	    json_object_array_length(range) == 0)
		return err_set(e, ERR_REFERENCE, 0,
		    "give \"listen\" and \"portRange\"",
		    "settings do not say where to listen");
	b->peer_port = json_object_get_int(json_object_array_get_idx(range, 0));
	if (parse_endpoint(listen, "front", &b->callers, e) == -1)
		return -1;
	return parse_endpoint(listen, "ready", &b->readiness, e);
}

static int
parse_store(struct boot *b, struct json_object *root, struct err *e)
{
	struct json_object *o =
	    field_member(root, "platform", json_type_object);

	if (o == NULL)
		return err_set(e, ERR_REFERENCE, 0, "give \"platform\"",
		    "settings do not name the store");
	b->store_writes_per_s = (int)field_int(o, "writesPerS", 100);
	b->store_reads_per_s = (int)field_int(o, "readsPerS", 100);
	b->store_record_bytes = field_int(o, "recordBytes", 65536);
	b->store_request_bytes = field_int(o, "requestBytes", 1 << 20);
	b->store_parts = (int)field_int(o, "parts", 1);
	b->group_ttl_min_ms = (int)field_int(o, "ttlMinMs", 1000);
	return parse_endpoint(o, "addr", &b->store, e);
}

/* Bounds whose name ends in S are seconds, possibly with a fraction. */
static int
seconds_ms(struct json_object *o, const char *key, double missing)
{
	return (int)(field_real(o, key, missing) * (double)MS_PER_S);
}

static void
parse_bounds(struct boot *b, struct json_object *root)
{
	struct json_object *o = field_member(root, "bounds", json_type_object);

	b->lease_max_ms = (int)field_int(o, "holdMaxMs", 6000);
	b->stop_timeout_ms = (int)field_int(o, "stopTimeoutMs", 1000);
	b->gang_timeout_ms = (int)field_int(o, "gangTimeoutMs", 3000);
	b->grace_ms = seconds_ms(o, "graceS", 6);
	b->status_keep_ms = seconds_ms(o, "status_s", 120);
	b->early_ms = (int)field_int(o, "early_ms", 0);
	b->restore_ms = (int)field_int(o, "restoreMs", 500);
	b->notice_ms = (int)field_int(o, "noticeMs", 4000);
	b->move_ms = seconds_ms(o, "migrateS", 2);
	b->upkeep_ms = seconds_ms(o, "maintenanceS", 2);
	b->harm_ms = (int)field_int(o, "harmMs", 4000);
	b->holder_lease_ms = (int)field_int(o, "leaseMs", 3000);
	b->remote_factor = field_real(o, "remoteFactor", 1);
}

static int
parse_root(struct boot *b, struct json_object *root, struct err *e)
{
	struct json_object *o;

	if (!field_text(root, "node", b->name, sizeof(b->name)) ||
	    !field_text(root, "zone", b->data_centre, sizeof(b->data_centre)) ||
	    !field_text(root, "ip", b->ip, sizeof(b->ip)) || b->ip[0] == '\0')
		return err_set(e, ERR_TYPE, 0,
		    "give \"node\", \"zone\" and \"ip\" as short strings",
		    "settings do not say which machine this is");
	if (parse_listen(b, root, e) == -1 || parse_store(b, root, e) == -1)
		return -1;
	parse_bounds(b, root);
	o = field_member(root, "limits", json_type_object);
	b->cores = field_real(o, "cpuShare", 0) * field_real(o, "cores", 1);
	b->link_mbps = field_real(o, "linkMbps", 0);
	b->heartbeat_ms = (int)field_int(root, "heartbeatMs", 1500);
	/* both services are missing on deployments that lack them */
	if (!field_addr(root, "advice", b->advice.addr, sizeof(b->advice.addr),
		&b->advice.port))
		b->advice.addr[0] = '\0';
	o = field_member(root, "cloudApi", json_type_object);
	b->duties_per_s = (int)field_int(o, "dutyPerS", 1);
	if (!field_addr(o, "addr", b->machines.addr, sizeof(b->machines.addr),
		&b->machines.port))
		b->machines.addr[0] = '\0';
	return 0;
}

int
boot_parse(struct boot *b, const void *data, size_t len, struct err *e)
{
	struct json_object *root;
	int ret;

	memset(b, 0, sizeof(*b));
	root = json_parse(data, len);
	if (root == NULL)
		return err_set(e, ERR_SYNTAX, 0, "write one JSON object",
		    "settings are no JSON object");
	ret = parse_root(b, root, e);
	json_object_put(root);
	return ret;
}

int
boot_load(struct boot *b, const char *path, struct err *e)
{
	static char text[BOOT_MAX_BYTES];
	size_t n;
	FILE *f;

	f = fopen(path, "re");
	if (f == NULL)
		return err_set(e, ERR_IO, 0,
		    "check MIMOSALEAD_SETTINGS and the file's mode",
		    "cannot read settings %s", path);
	n = fread(text, 1, sizeof(text), f);
	fclose(f);
	return boot_parse(b, text, n, e);
}
