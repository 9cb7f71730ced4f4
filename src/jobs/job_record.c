#include "job_record.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "wire.h"

#define PREFIX_SPEC "j/"
#define PREFIX_PROGRESS "p/"
#define PREFIX_WORKER "w/"
#define PREFIX_BYTES 2

void
worker_record_key(char key[JOB_KEY_BYTES], const char *id)
{
	snprintf(key, JOB_KEY_BYTES, PREFIX_WORKER "%s", id);
}

/* The name behind the prefix of a key; false if the key is another one. */
static bool
key_name(const char *key, const char *prefix, char name[NAME_BYTES])
{
	if (strncmp(key, prefix, PREFIX_BYTES) != 0 ||
	    key[PREFIX_BYTES] == '\0' ||
	    strlen(key + PREFIX_BYTES) >= NAME_BYTES)
		return false;
	snprintf(name, NAME_BYTES, "%s", key + PREFIX_BYTES);
	return true;
}

bool
worker_key_id(const char *key, char id[NAME_BYTES])
{
	return key_name(key, PREFIX_WORKER, id);
}

void
job_spec_key(char key[JOB_KEY_BYTES], const char *id)
{
	snprintf(key, JOB_KEY_BYTES, PREFIX_SPEC "%s", id);
}

void
job_progress_key(char key[JOB_KEY_BYTES], const char *id)
{
	snprintf(key, JOB_KEY_BYTES, PREFIX_PROGRESS "%s", id);
}

bool
job_key_id(const char *key, char id[JOB_ID_BYTES], bool *progress)
{
	if (strlen(key) != PREFIX_BYTES + JOB_ID_BYTES - 1)
		return false;
	*progress = strncmp(key, PREFIX_PROGRESS, PREFIX_BYTES) == 0;
	if (!*progress && strncmp(key, PREFIX_SPEC, PREFIX_BYTES) != 0)
		return false;
	memcpy(id, key + PREFIX_BYTES, JOB_ID_BYTES);
	return true;
}

void
share_record_key(char key[JOB_KEY_BYTES], const char *account)
{
	snprintf(key, JOB_KEY_BYTES, KEY_SHARE_PREFIX "%s", account);
}

bool
share_key_account(const char *key, char account[NAME_BYTES])
{
	return key_name(key, KEY_SHARE_PREFIX, account);
}

static const struct codec_field share_fields[] = {
    CODEC_FIELD("c", CODEC_I64, struct cap_share, share.cpu_milli),
    CODEC_FIELD("m", CODEC_I64, struct cap_share, share.memory_mb),
    CODEC_FIELD("g", CODEC_I64, struct cap_share, share.accelerators),
    CODEC_FIELD("rc", CODEC_I64, struct cap_share, cap.cpu_milli),
    CODEC_FIELD("rm", CODEC_I64, struct cap_share, cap.memory_mb),
    CODEC_FIELD("rg", CODEC_I64, struct cap_share, cap.accelerators),
};

#define SHARE_FIELDS (sizeof(share_fields) / sizeof(share_fields[0]))

struct buf *
share_record_encode(const struct cap_share *s)
{
	struct wire_writer w;

	wire_writer_init(&w);
	codec_write(&w, share_fields, SHARE_FIELDS, s);
	return wire_writer_finish(&w);
}

/* The share of each dimension is a part of the cap. */
static bool
share_valid(const struct cap_share *s)
{
	int64_t share, cap;
	int d;

	for (d = 0; d < CAP_DIMENSIONS; d++) {
		share = cap_get(&s->share, d);
		cap = cap_get(&s->cap, d);
		if (share < 0 || share > cap || cap > ACCOUNT_CAP_MAX)
			return false;
	}
	return true;
}

int
share_record_decode(
    struct cap_share *s, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	bool ok;

	memset(s, 0, sizeof(*s));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = codec_read(in.root, share_fields, SHARE_FIELDS, s) &&
	    share_valid(s);
	wire_reader_uninit(&in);
	if (ok)
		return 0;
	memset(s, 0, sizeof(*s));
	return err_set(e, ERR_PROTOCOL, 0,
	    "check which processes write to the pool's topic",
	    "the record of an account's share is out of range");
}

struct buf *
cap_controller_encode(int64_t fence)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_i64(&w, "f", fence);
	return wire_writer_finish(&w);
}

int
cap_controller_decode(
    int64_t *fence, const void *data, size_t len, struct err *e)
{
	struct wire_reader in;
	bool ok;

	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	ok = wire_get_i64(in.root, "f", fence) && *fence > 0;
	wire_reader_uninit(&in);
	if (ok)
		return 0;
	return err_set(e, ERR_PROTOCOL, 0,
	    "check which processes write to the pool's topic",
	    "the record of the controller that proposed shares is damaged");
}

/* "stretch" is written in thousandths. */
struct queue_settings_record {
	struct queue_settings settings;
	int64_t stretch_milli;
};

static const struct codec_field queue_settings_fields[] = {
    CODEC_FIELD("q", CODEC_STR, struct queue_settings_record, settings.name),
    CODEC_FIELD(
	"pr", CODEC_INT, struct queue_settings_record, settings.priority),
    CODEC_FIELD(
	"at", CODEC_INT, struct queue_settings_record, settings.max_attempts),
    CODEC_FIELD("tl", CODEC_INT, struct queue_settings_record,
	settings.target_latency_ms),
    CODEC_FIELD("st", CODEC_I64, struct queue_settings_record, stretch_milli),
    CODEC_FIELD(
	"ad", CODEC_BOOL, struct queue_settings_record, settings.has_policy),
    CODEC_FIELD(
	"dm", CODEC_INT, struct queue_settings_record, settings.policy_base_ms),
    CODEC_FIELD("wu", CODEC_INT, struct queue_settings_record,
	settings.policy_per_worker_us),
    CODEC_FIELD("vm", CODEC_INT, struct queue_settings_record,
	settings.ticket_valid_ms),
};

#define QUEUE_SETTINGS_FIELDS \
	(sizeof(queue_settings_fields) / sizeof(queue_settings_fields[0]))

void
queue_settings_write(struct wire_writer *w, const struct queue_settings *q)
{
	struct queue_settings_record r = {.settings = *q};

	r.stretch_milli = (int64_t)(q->stretch * 1000);
	codec_write(w, queue_settings_fields, QUEUE_SETTINGS_FIELDS, &r);
}

bool
queue_settings_read(const msgpack_object *map, struct queue_settings *q)
{
	struct queue_settings_record r;

	memset(&r, 0, sizeof(r));
	if (!codec_read(map, queue_settings_fields, QUEUE_SETTINGS_FIELDS, &r))
		return false;
	*q = r.settings;
	q->stretch = (double)r.stretch_milli / 1000;
	return true;
}

struct buf *
job_spec_encode(const struct job *j, const struct buf *text)
{
	const char *account = job_account_name(j);
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, account[0] != '\0' ? 4 : 3);
	wire_i64(&w, "a", j->submitted_ms);
	wire_key(&w, "t");
	queue_settings_write(&w, &j->queue);
	wire_bin(&w, "b", text->data, text->len);
	if (account[0] != '\0')
		wire_str(&w, "ac", account);
	return wire_writer_finish(&w);
}

int
job_spec_decode(const void *data, size_t len, struct err *e,
    void (*found)(void *arg, const struct job_spec_record *r), void *arg)
{
	struct job_spec_record r;
	const msgpack_object *map;
	struct wire_reader in;
	int ret = -1;

	memset(&r, 0, sizeof(r));
	if (wire_reader_init(&in, data, len, e) == -1)
		return -1;
	if (wire_get_i64(in.root, "a", &r.submitted_ms) &&
	    wire_get(in.root, "t", &map) &&
	    queue_settings_read(map, &r.queue) &&
	    wire_get_bin(in.root, "b", &r.text, &r.text_len)) {
		/* missing: no account */
		wire_get_str(in.root, "ac", r.account, sizeof(r.account));
		found(arg, &r);
		ret = 0;
	} else {
		err_set(e, ERR_PROTOCOL, 0,
		    "check which processes write to the pool's topic",
		    "a job specification's record lacks a field");
	}
	wire_reader_uninit(&in);
	return ret;
}
