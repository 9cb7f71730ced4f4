#include "platform_settings.h"

#include <stdio.h>
#include <string.h>

#include "json_get.h"

#define SETTINGS_MAX_BYTES (256 * 1024)

static int
parse_endpoint(
    struct json_object *o, const char *key, struct endpoint *p, struct err *e)
{
	if (json_get_addr(o, key, p->addr, sizeof(p->addr), &p->port))
		return 0;
	p->addr[0] = '\0';
	return err_set(e, ERR_TYPE, 0, "give it as \"IP:PORT\"",
	    "settings lack the address \"%s\"", key);
}

static int
parse_listen(
    struct platform_settings *b, struct json_object *root, struct err *e)
{
	struct json_object *listen, *range;

	listen = json_get_member(root, "listen", json_type_object);
	range = json_get_member(root, "portRange", json_type_array);
	if (listen == NULL || range == NULL ||
	    json_object_array_length(range) == 0)
		return err_set(e, ERR_REFERENCE, 0,
		    "give \"listen\" and \"portRange\"",
		    "settings do not say where to listen");
	b->peer_port = json_object_get_int(json_object_array_get_idx(range, 0));
	if (parse_endpoint(listen, "front", &b->caller_endpoint, e) == -1)
		return -1;
	return parse_endpoint(listen, "ready", &b->readiness_endpoint, e);
}

static int
parse_store(
    struct platform_settings *b, struct json_object *root, struct err *e)
{
	struct json_object *o =
	    json_get_member(root, "platform", json_type_object);

	if (o == NULL)
		return err_set(e, ERR_REFERENCE, 0, "give \"platform\"",
		    "settings do not name the store");
	b->store_writes_per_s = (int)json_get_int(o, "writesPerS", 100);
	b->store_reads_per_s = (int)json_get_int(o, "readsPerS", 100);
	b->store_record_max_bytes = json_get_int(o, "recordBytes", 65536);
	b->store_append_max_bytes = json_get_int(o, "requestBytes", 1 << 20);
	b->store_partition_count = (int)json_get_int(o, "parts", 1);
	b->group_ttl_min_ms = (int)json_get_int(o, "ttlMinMs", 1000);
	return parse_endpoint(o, "addr", &b->store_endpoint, e);
}

/* Bounds whose name ends in S are seconds, possibly with a fraction. */
static int
get_seconds_ms(struct json_object *o, const char *key, double missing)
{
	return (int)(json_get_real(o, key, missing) * (double)MS_PER_S);
}

static void
parse_bounds(struct platform_settings *b, struct json_object *root)
{
	struct json_object *o =
	    json_get_member(root, "bounds", json_type_object);

	b->lease_max_ms = (int)json_get_int(o, "holdMaxMs", 6000);
	b->task_stop_timeout_ms = (int)json_get_int(o, "stopTimeoutMs", 1000);
	b->gang_timeout_ms = (int)json_get_int(o, "gangTimeoutMs", 3000);
	b->shutdown_grace_ms = get_seconds_ms(o, "graceS", 6);
	b->job_status_retention_ms = get_seconds_ms(o, "status_s", 120);
	b->start_early_max_ms = (int)json_get_int(o, "early_ms", 0);
	b->checkpoint_restore_ms = (int)json_get_int(o, "restoreMs", 500);
	b->absence_grace_ms = (int)json_get_int(o, "noticeMs", 4000);
	b->move_ms = get_seconds_ms(o, "migrateS", 2);
	b->maintenance_ms = get_seconds_ms(o, "maintenanceS", 2);
	b->latency_violation_ms = (int)json_get_int(o, "harmMs", 4000);
	b->controller_lease_ms = (int)json_get_int(o, "leaseMs", 3000);
	b->remote_data_factor = json_get_real(o, "remoteFactor", 1);
}

static int
parse_root(struct platform_settings *b, struct json_object *root, struct err *e)
{
	struct json_object *o;

	if (!json_get_text(root, "node", b->name, sizeof(b->name)) ||
	    !json_get_text(
		root, "zone", b->data_centre, sizeof(b->data_centre)) ||
	    !json_get_text(root, "ip", b->ip, sizeof(b->ip)) ||
	    b->ip[0] == '\0')
		return err_set(e, ERR_TYPE, 0,
		    "give \"node\", \"zone\" and \"ip\" as short strings",
		    "settings do not say which machine this is");
	if (parse_listen(b, root, e) == -1 || parse_store(b, root, e) == -1)
		return -1;
	parse_bounds(b, root);
	o = json_get_member(root, "limits", json_type_object);
	b->cores =
	    json_get_real(o, "cpuShare", 0) * json_get_real(o, "cores", 1);
	b->link_mbps = json_get_real(o, "linkMbps", 0);
	b->worker_heartbeat_ms = (int)json_get_int(root, "heartbeatMs", 1500);
	/* both services are missing on deployments that lack them */
	if (!json_get_addr(root, "advice", b->advice_endpoint.addr,
		sizeof(b->advice_endpoint.addr), &b->advice_endpoint.port))
		b->advice_endpoint.addr[0] = '\0';
	o = json_get_member(root, "cloudApi", json_type_object);
	b->machine_commands_per_s = (int)json_get_int(o, "dutyPerS", 1);
	if (!json_get_addr(o, "addr", b->machines_endpoint.addr,
		sizeof(b->machines_endpoint.addr), &b->machines_endpoint.port))
		b->machines_endpoint.addr[0] = '\0';
	return 0;
}

int
platform_settings_parse(
    struct platform_settings *b, const void *data, size_t len, struct err *e)
{
	struct json_object *root;
	int ret;

	memset(b, 0, sizeof(*b));
	root = json_parse_object(data, len);
	if (root == NULL)
		return err_set(e, ERR_SYNTAX, 0, "write one JSON object",
		    "settings are no JSON object");
	ret = parse_root(b, root, e);
	json_object_put(root);
	return ret;
}

int
platform_settings_load(
    struct platform_settings *b, const char *path, struct err *e)
{
	static char text[SETTINGS_MAX_BYTES];
	size_t n;
	FILE *f;

	f = fopen(path, "re");
	if (f == NULL)
		return err_set(e, ERR_IO, 0,
		    "check MIMOSALEAD_SETTINGS and the file's mode",
		    "cannot read settings %s", path);
	n = fread(text, 1, sizeof(text), f);
	fclose(f);
	return platform_settings_parse(b, text, n, e);
}
