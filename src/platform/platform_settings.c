#include "platform_settings.h"

#include <stdio.h>
#include <string.h>

#include "json_get.h"
#include "long_name.h"

#define SETTINGS_MAX_BYTES (256 * 1024)
#define BOUND_MAX_MS (24 * 3600 * 1000)

static int
parse_endpoint(
    struct json_object *o, const char *key, struct endpoint *p, struct err *e)
{
	if (json_get_addr(o, key, p->addr, sizeof(p->addr), &p->port))
		return 0;
	p->addr[0] = '\0';
	return err_set(e, ERR_TYPE, 0, "set it to \"IP:PORT\"",
	    "the settings have no valid address \"%s\"", key);
}

static int
parse_listen(
    struct platform_settings *s, struct json_object *root, struct err *e)
{
	struct json_object *listen, *range;

	listen = json_get_member(root, "listen", json_type_object);
	range = json_get_member(root, "portRange", json_type_array);
	if (listen == NULL || range == NULL ||
	    json_object_array_length(range) == 0)
		return err_set(e, ERR_REFERENCE, 0,
		    "set \"listen\" and \"portRange\"",
		    "the settings lack \"listen\" or \"portRange\"");
	s->peer_port = json_object_get_int(json_object_array_get_idx(range, 0));
	if (parse_endpoint(listen, "front", &s->caller_endpoint, e) == -1)
		return -1;
	return parse_endpoint(listen, "ready", &s->readiness_endpoint, e);
}

static int
parse_store(
    struct platform_settings *s, struct json_object *root, struct err *e)
{
	struct json_object *o =
	    json_get_member(root, "platform", json_type_object);

	if (o == NULL)
		return err_set(e, ERR_REFERENCE, 0, "set \"platform\"",
		    "the settings lack \"platform\", the store's settings");
	s->store_writes_per_s = (int)json_get_int(o, "writesPerS", 100);
	s->store_reads_per_s = (int)json_get_int(o, "readsPerS", 100);
	s->store_record_max_bytes = json_get_int(o, "recordBytes", 65536);
	s->store_append_max_bytes = json_get_int(o, "requestBytes", 1 << 20);
	s->store_partition_count = (int)json_get_int(o, "parts", 1);
	s->group_ttl_min_ms = (int)json_get_int(o, "ttlMinMs", 1000);
	return parse_endpoint(o, "addr", &s->store_endpoint, e);
}

/* Fields whose name ends in S are seconds, possibly with a fraction. */
static int
get_seconds_ms(struct json_object *o, const char *key, double fallback)
{
	return (int)(json_get_real(o, key, fallback) * (double)MS_PER_S);
}

static void
parse_bounds(struct platform_settings *s, struct json_object *root)
{
	struct json_object *o =
	    json_get_member(root, "bounds", json_type_object);

	s->calm_ms = (int)json_get_int(o, "contactMs", 3000);
	s->lease_max_ms = (int)json_get_int(o, "holdMaxMs", 6000);
	s->task_stop_timeout_ms = (int)json_get_int(o, "stopTimeoutMs", 1000);
	s->gang_timeout_ms = (int)json_get_int(o, "gangTimeoutMs", 3000);
	s->shutdown_grace_ms = get_seconds_ms(o, "graceS", 6);
	s->job_status_retention_ms = get_seconds_ms(o, "status_s", 120);
	s->start_early_max_ms = (int)json_get_int(o, "early_ms", 0);
	s->checkpoint_restore_ms = (int)json_get_int(o, "restoreMs", 500);
	s->absence_grace_ms = (int)json_get_int(o, "noticeMs", 4000);
	s->move_ms = get_seconds_ms(o, "migrateS", 2);
	s->maintenance_ms = get_seconds_ms(o, "maintenanceS", 2);
	s->latency_violation_ms = (int)json_get_int(o, "harmMs", 4000);
	s->controller_lease_ms = (int)json_get_int(o, "leaseMs", 3000);
	s->config_apply_ms =
	    json_get_int_clamped(o, "configApplyMs", 3000, BOUND_MAX_MS);
	s->max_stretch_ms =
	    json_get_int_clamped(o, "maxStretchMs", 6000, BOUND_MAX_MS);
	s->remote_data_factor = json_get_real(o, "remoteFactor", 1);
}

static int
parse_root(struct platform_settings *s, struct json_object *root, struct err *e)
{
	struct json_object *o;

	if (!json_get_name(root, "node", s->name) ||
	    !json_get_name(root, "zone", s->data_centre) ||
	    !json_get_text(root, "ip", s->ip, sizeof(s->ip)) ||
	    s->ip[0] == '\0')
		return err_set(e, ERR_TYPE, 0,
		    "set \"node\", \"zone\" and \"ip\" to short strings",
		    "the settings have no valid \"node\", \"zone\" or \"ip\"");
	if (parse_listen(s, root, e) == -1 || parse_store(s, root, e) == -1)
		return -1;
	parse_bounds(s, root);
	o = json_get_member(root, "limits", json_type_object);
	s->cores =
	    json_get_real(o, "cpuShare", 0) * json_get_real(o, "cores", 1);
	s->link_mbps = json_get_real(o, "linkMbps", 0);
	s->worker_heartbeat_ms = (int)json_get_int(root, "heartbeatMs", 1500);
	/* not every deployment has the policy and the machine service */
	if (!json_get_addr(root, "advice", s->advice_endpoint.addr,
		sizeof(s->advice_endpoint.addr), &s->advice_endpoint.port))
		s->advice_endpoint.addr[0] = '\0';
	o = json_get_member(root, "cloudApi", json_type_object);
	s->machine_commands_per_s = (int)json_get_int(o, "dutyPerS", 1);
	if (!json_get_addr(o, "addr", s->machines_endpoint.addr,
		sizeof(s->machines_endpoint.addr), &s->machines_endpoint.port))
		s->machines_endpoint.addr[0] = '\0';
	return 0;
}

int
platform_settings_parse(
    struct platform_settings *s, const void *data, size_t len, struct err *e)
{
	struct json_object *root;
	int ret;

	memset(s, 0, sizeof(*s));
	root = json_parse_object(data, len);
	if (root == NULL)
		return err_set(e, ERR_SYNTAX, 0, "write one JSON object",
		    "the settings are not a JSON object");
	ret = parse_root(s, root, e);
	json_object_put(root);
	return ret;
}

int
platform_settings_load(
    struct platform_settings *s, const char *path, struct err *e)
{
	static char text[SETTINGS_MAX_BYTES];
	size_t n;
	FILE *f;

	f = fopen(path, "re");
	if (f == NULL)
		return err_set(e, ERR_IO, 0,
		    "check MIMOSALEAD_SETTINGS and the file's mode",
		    "cannot read the settings file %s", path);
	n = fread(text, 1, sizeof(text), f);
	fclose(f);
	return platform_settings_parse(s, text, n, e);
}
