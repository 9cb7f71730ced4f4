#include "text_table.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define DAY_MS 86400000
#define AT(type, field) .offset = offsetof(type, field)
#define LIST_AT(type, field, counter) \
	.offset = offsetof(type, field), .count_offset = offsetof(type, counter)

static const char *const log_down_names[] = {"refuse", "run", NULL};
static const char *const member_by_names[] = {"header", "path", "host", NULL};

static const struct key class_keys[] = {
    {"deadline_ms", KEY_INT, .min = 10, .max = DAY_MS, .default_value = 2000,
	AT(struct text_class, deadline_ms),
	.help = "milliseconds from a request's arrival to its whole answer"},
    {"queue_limit", KEY_INT, .min = 0, .max = 100000, .default_value = 64,
	AT(struct text_class, queue_limit),
	.help = "waiting requests of one member at one daemon"},
    {"reserved_slots", KEY_INT, .min = 0, .max = 1024, .default_value = 0,
	AT(struct text_class, reserved_slots),
	.help = "slots of each worker that the other class can't take"},
};
static const struct key_table class_table = {
    "a class", class_keys, COUNT(class_keys), sizeof(struct text_class)};

static const struct key service_keys[] = {
    {"name", KEY_NAME, .required = true, .min = 1,
	AT(struct text_service, name), .help = "unique name of the service"},
    {"path", KEY_PATH, .required = true, .min = 1,
	AT(struct text_service, path),
	.help = "prefix of its URL paths, for instance /enrolment"},
    {"pool", KEY_NAME, .required = true, .min = 1,
	AT(struct text_service, pool), .help = "pool whose VMs run it"},
    {"batch_path", KEY_PATH, AT(struct text_service, batch_path),
	.help = "requests under this prefix are of class batch"},
    {"depends_on", KEY_NAMES, .max = 64,
	LIST_AT(struct text_service, depends_on, depends_on_count),
	.help = "services without which it can't answer"},
    {"availability", KEY_SHARE, .required = true, .min = 0, .max = TEXT_PPM,
	AT(struct text_service, availability_ppm),
	.help = "share of its VMs that must stay available, 0 to 1"},
    {"slots", KEY_INT, .min = 1, .max = 1024, .default_value = 8,
	AT(struct text_service, slots),
	.help = "concurrent requests of one worker"},
    {"connections", KEY_INT, .min = 1, .max = 65535, .default_value = 64,
	AT(struct text_service, connections),
	.help = "connections of one worker"},
    {"attempt_timeout_ms", KEY_INT, .min = 10, .max = DAY_MS,
	.default_value = 2000, AT(struct text_service, attempt_timeout_ms),
	.help = "milliseconds after which one attempt is given up"},
    {"retry_budget", KEY_SHARE, .min = 0, .max = TEXT_PPM,
	.default_value = 100000, AT(struct text_service, retry_budget_ppm),
	.help = "retries per fresh request, 0 to 1"},
    {"key_ttl_s", KEY_INT, .min = 1, .max = 604800, .default_value = 86400,
	AT(struct text_service, key_ttl_s),
	.help = "seconds for which an Idempotency-Key is remembered"},
    {"idempotent", KEY_BOOL, .default_value = false,
	AT(struct text_service, idempotent),
	.help = "true where every request may be repeated"},
    {"when_log_down", KEY_CHOICE, .default_value = LOG_DOWN_REFUSE,
	.choices = log_down_names, AT(struct text_service, when_log_down),
	.help = "keyed requests while the log is down: refuse, or run "
		"without dedup across daemons"},
    {"quick", KEY_OBJECT, .table = &class_table,
	AT(struct text_service, classes[CLASS_QUICK]),
	.help = "class of requests that a person waits for"},
    {"batch", KEY_OBJECT, .table = &class_table,
	AT(struct text_service, classes[CLASS_BATCH]),
	.help = "class of requests that may wait"},
};
static const struct key_table service_table = {"a service", service_keys,
    COUNT(service_keys), sizeof(struct text_service)};

static const struct key pool_keys[] = {
    {"name", KEY_NAME, .required = true, .min = 1, AT(struct text_pool, name),
	.help = "unique name of the pool"},
    {"spare", KEY_BOOL, .default_value = false, AT(struct text_pool, spare),
	.help = "true for the pool of VMs held in reserve"},
};
static const struct key_table pool_table = {
    "a pool", pool_keys, COUNT(pool_keys), sizeof(struct text_pool)};

static const struct key data_centre_keys[] = {
    {"name", KEY_NAME, .required = true, .min = 1,
	AT(struct text_data_centre, name),
	.help = "unique name of the data centre"},
    {"region", KEY_NAME, AT(struct text_data_centre, region),
	.help = "region it lies in"},
};
static const struct key_table data_centre_table = {"a data centre",
    data_centre_keys, COUNT(data_centre_keys), sizeof(struct text_data_centre)};

static const struct key quota_keys[] = {
    {"cores", KEY_INT64, .min = 0, .max = 100000000,
	AT(struct text_quota, cores), .help = "cores of all its tasks"},
    {"memory_mb", KEY_INT64, .min = 0, .max = INT64_C(100000000000),
	AT(struct text_quota, memory_mb),
	.help = "memory of all its tasks in MB"},
    {"accelerators", KEY_INT64, .min = 0, .max = 100000000,
	AT(struct text_quota, accelerators),
	.help = "accelerators of all its tasks"},
};
static const struct key_table quota_table = {
    "a quota", quota_keys, COUNT(quota_keys), sizeof(struct text_quota)};

static const struct key member_keys[] = {
    {"name", KEY_NAME, .required = true, .min = 1, AT(struct text_member, name),
	.help = "unique name of the member"},
    {"weight", KEY_INT, .min = 1, .max = 1000, .default_value = 1,
	AT(struct text_member, weight),
	.help = "share of a contended queue, relative to other members"},
    {"quota", KEY_OBJECT, .table = &quota_table, AT(struct text_member, quota),
	.help = "limits of its tasks; 0 of a resource: none may be used"},
};
static const struct key_table member_table = {
    "a member", member_keys, COUNT(member_keys), sizeof(struct text_member)};

static const struct key measure_keys[] = {
    {"buffer_cost", KEY_INT, .min = 0, .max = 1000, .default_value = 1,
	AT(struct text_measures, buffer_cost),
	.help = "weight of idle capacity held in reserve"},
    {"rollout_time", KEY_INT, .min = 0, .max = 1000, .default_value = 1,
	AT(struct text_measures, rollout_time),
	.help = "weight of the time that moves and maintenance take"},
    {"vm_moves", KEY_INT, .min = 0, .max = 1000, .default_value = 1,
	AT(struct text_measures, vm_moves), .help = "weight of each VM move"},
};
static const struct key_table measure_table = {"measures", measure_keys,
    COUNT(measure_keys), sizeof(struct text_measures)};

static const struct key maintenance_keys[] = {
    {"enabled", KEY_BOOL, .default_value = false,
	AT(struct text_maintenance, enabled), .help = "open waves by itself"},
    {"every_days", KEY_INT, .min = 1, .max = 366, .default_value = 49,
	AT(struct text_maintenance, every_days),
	.help = "each VM is maintained once in this many days"},
    {"canary", KEY_INT, .min = 1, .max = 100, .default_value = 1,
	AT(struct text_maintenance, canary),
	.help = "VMs in the first batch of a wave"},
    {"growth", KEY_INT, .min = 1, .max = 10, .default_value = 2,
	AT(struct text_maintenance, growth),
	.help = "factor by which batches grow"},
    {"max_batch", KEY_INT, .min = 1, .max = 1000, .default_value = 8,
	AT(struct text_maintenance, max_batch),
	.help = "VMs in the largest batch"},
    {"soak_s", KEY_INT, .min = 0, .max = 86400, .default_value = 60,
	AT(struct text_maintenance, soak_s),
	.help = "seconds that returned VMs serve before the next batch"},
    {"max_failures", KEY_INT, .min = 0, .max = 1000, .default_value = 1,
	AT(struct text_maintenance, max_failures),
	.help = "failures in a wave that stop it"},
    {"resume", KEY_INT64, .min = 0, .max = INT64_MAX,
	AT(struct text_maintenance, resume),
	.help = "raise it to resume stopped waves"},
};
static const struct key_table maintenance_table = {"maintenance",
    maintenance_keys, COUNT(maintenance_keys), sizeof(struct text_maintenance)};

static const struct key task_keys[] = {
    {"pool", KEY_NAME, AT(struct text_tasks, pool),
	.help = "pool that runs tasks; empty: no tasks"},
    {"lease_s", KEY_INT, .min = 2, .max = 3600, .default_value = 30,
	AT(struct text_tasks, lease_s),
	.help = "seconds that a worker may run a task without a renewal"},
    {"preempt", KEY_BOOL, .default_value = false,
	AT(struct text_tasks, preempt),
	.help = "urgent tasks may throttle, checkpoint or stop lower ones"},
    {"quarantine_failures", KEY_INT, .min = 1, .max = 1000, .default_value = 3,
	AT(struct text_tasks, quarantine_failures),
	.help = "failures in a row after which a worker gets no tasks"},
};
static const struct key_table task_table = {
    "tasks", task_keys, COUNT(task_keys), sizeof(struct text_tasks)};

static const struct key root_keys[] = {
    {"deployment", KEY_NAME, .required = true, .min = 1,
	AT(struct text, deployment), .help = "name of the deployment"},
    {"data_centres", KEY_OBJECTS, .required = true, .min = 1, .max = 256,
	.table = &data_centre_table,
	LIST_AT(struct text, data_centres, data_centre_count),
	.help = "where VMs are"},
    {"pools", KEY_OBJECTS, .required = true, .min = 1, .max = 1024,
	.table = &pool_table, LIST_AT(struct text, pools, pool_count),
	.help = "groups of VMs that run the same services"},
    {"services", KEY_OBJECTS, .required = true, .min = 1, .max = 1024,
	.table = &service_table, LIST_AT(struct text, services, service_count),
	.help = "what callers ask for"},
    {"members", KEY_OBJECTS, .max = 4096, .table = &member_table,
	LIST_AT(struct text, members, member_count),
	.help = "customers that share the services"},
    {"member_by", KEY_CHOICE, .default_value = MEMBER_BY_HEADER,
	.choices = member_by_names, AT(struct text, member_by),
	.help = "what names a request's member: a header, the first segment "
		"of the path, or the first label of the host"},
    {"member_header", KEY_NAME, .default_text = "mimosalead-member",
	AT(struct text, member_header),
	.help = "header that names the member, in lower case"},
    {"measures", KEY_OBJECT, .table = &measure_table, AT(struct text, measures),
	.help = "weights of the three measures in the planner's score"},
    {"maintenance", KEY_OBJECT, .table = &maintenance_table,
	AT(struct text, maintenance), .help = "maintenance waves"},
    {"tasks", KEY_OBJECT, .table = &task_table, AT(struct text, tasks),
	.help = "tasks of the members"},
    {"leaving", KEY_NAMES, .max = 10000,
	LIST_AT(struct text, leaving, leaving_count),
	.help = "VMs that operators take out of service"},
};
const struct key_table text_root_table = {
    "the text", root_keys, COUNT(root_keys), sizeof(struct text)};
