/* Serialised state of the fold, for snapshots and for transfer to peers. */
#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "codec.h"
#include "fold_state.h"

#define FOLD_FORMAT_VERSION 1 /* incremented by incompatible changes */
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

#define VM(key, type, member) CODEC_FIELD(key, type, struct vm, member)
static const struct codec_field vm_fields[] = {
    VM("vm", CODEC_STR, name),
    VM("inc", CODEC_U64, incarnation),
    VM("ep", CODEC_U64, epoch),
    VM("dc", CODEC_STR, data_centre),
    VM("fd", CODEC_STR, failure_domain),
    VM("po", CODEC_STR, pool),
    VM("to", CODEC_STR, target_pool),
    VM("ad", CODEC_STR, addr),
    VM("pt", CODEC_INT, port),
    VM("ro", CODEC_INT, role),
    VM("st", CODEC_INT, state),
    VM("ch", CODEC_U64, changed_offset),
    VM("mt", CODEC_I64, maintained_ms),
    VM("lm", CODEC_I64, lost_ms),
    VM("c", CODEC_I64, cores),
    VM("m", CODEC_I64, memory_mb),
    VM("a", CODEC_I64, accelerators),
    VM("wd", CODEC_U64, withdrawal_id),
    VM("en", CODEC_U64, withdrawal_end_offset),
    VM("wv", CODEC_U64, wave_id),
    VM("wb", CODEC_U64, wave_batch),
    VM("ab", CODEC_BOOL, unlisted),
    VM("f0", CODEC_U64, former_incarnations[0]),
    VM("f1", CODEC_U64, former_incarnations[1]),
    VM("f2", CODEC_U64, former_incarnations[2]),
    VM("f3", CODEC_U64, former_incarnations[3]),
};
#undef VM

#define DAEMON(key, type, member) \
	CODEC_FIELD(key, type, struct fold_daemon, member)
static const struct codec_field daemon_fields[] = {
    DAEMON("p", CODEC_U64, process),
    DAEMON("inc", CODEC_U64, incarnation),
    DAEMON("name", CODEC_STR, name),
    DAEMON("dc", CODEC_STR, data_centre),
    DAEMON("jo", CODEC_U64, registered_offset),
};
#undef DAEMON

#define WAVE(key, type, member) CODEC_FIELD(key, type, struct fold_wave, member)
static const struct codec_field wave_fields[] = {
    WAVE("id", CODEC_U64, id),
    WAVE("dc", CODEC_STR, data_centre),
    WAVE("fd", CODEC_STR, failure_domain),
    WAVE("ba", CODEC_U64, batch),
    WAVE("bs", CODEC_I64, batch_size),
    WAVE("ad", CODEC_I64, batch_admitted),
    WAVE("be", CODEC_I64, batch_ended),
    WAVE("en", CODEC_I64, ended_count),
    WAVE("fa", CODEC_I64, failure_count),
    WAVE("re", CODEC_I64, config_resume),
    WAVE("st", CODEC_BOOL, stopped),
    WAVE("why", CODEC_STR, stop_reason),
};
#undef WAVE

#define AUTHOR(key, type, member) \
	CODEC_FIELD(key, type, struct fold_author, member)
static const struct codec_field author_fields[] = {
    AUTHOR("p", CODEC_U64, key.process),
    AUTHOR("inc", CODEC_U64, key.incarnation),
    AUTHOR("s", CODEC_U64, last_seq),
    AUTHOR("o", CODEC_U64, last_offset),
};
#undef AUTHOR

#define CLOCK(key, type, member) \
	CODEC_FIELD(key, type, struct fold_clock, member)
static const struct codec_field clock_fields[] = {
    CLOCK("p", CODEC_U64, process),
    CLOCK("t", CODEC_I64, latest_ms),
    CLOCK("o", CODEC_U64, next_offset),
};
#undef CLOCK

#define VERDICT(key, type, member) \
	CODEC_FIELD(key, type, struct fold_verdict, member)
static const struct codec_field verdict_fields[] = {
    VERDICT("p", CODEC_U64, id.process),
    VERDICT("inc", CODEC_U64, id.incarnation),
    VERDICT("s", CODEC_U64, id.seq),
    VERDICT("o", CODEC_U64, offset),
    VERDICT("ok", CODEC_BOOL, admitted),
    VERDICT("why", CODEC_STR, reason),
};
#undef VERDICT

#define SCALAR(key, type, member) CODEC_FIELD(key, type, struct fold, member)
static const struct codec_field scalar_fields[] = {
    SCALAR("nx", CODEC_U64, next),
    SCALAR("rv", CODEC_U64, revision),
    SCALAR("cv", CODEC_U64, config_version),
    SCALAR("ms", CODEC_I64, log_ms),
    SCALAR("vc", CODEC_U64, verdict_count),
    SCALAR("uc", CODEC_U64, unknown_count),
    SCALAR("sn", CODEC_U64, snapshot.next),
    SCALAR("sa", CODEC_U64, snapshot.parts_offset),
    SCALAR("sh", CODEC_U64, snapshot.hash),
    SCALAR("sl", CODEC_U64, snapshot.len),
    SCALAR("sp", CODEC_U64, snapshot.process),
    SCALAR("si", CODEC_U64, snapshot.incarnation),
    SCALAR("so", CODEC_U64, snapshot.record_offset),
    SCALAR("ap", CODEC_U64, counters.applied),
    SCALAR("rp", CODEC_U64, counters.duplicates),
    SCALAR("vo", CODEC_U64, counters.voided),
    SCALAR("mf", CODEC_U64, counters.malformed),
};
#undef SCALAR

static int
vm_by_name(const struct vm *a, const struct vm *b)
{
	return strcmp(a->name, b->name);
}

static int
daemon_by_process(const struct fold_daemon *a, const struct fold_daemon *b)
{
	return (a->process > b->process) - (a->process < b->process);
}

static int
wave_by_name(const struct fold_wave *a, const struct fold_wave *b)
{
	return strcmp(a->data_centre, b->data_centre);
}

static int
author_by_key(const struct fold_author *a, const struct fold_author *b)
{
	if (a->key.process != b->key.process)
		return a->key.process < b->key.process ? -1 : 1;
	return (a->key.incarnation > b->key.incarnation) -
	    (a->key.incarnation < b->key.incarnation);
}

void
fold_sort_tables(struct fold *f)
{
	HASH_SORT(f->vms, vm_by_name);
	HASH_SORT(f->daemons, daemon_by_process);
	HASH_SORT(f->waves, wave_by_name);
	HASH_SORT(f->authors, author_by_key);
}

#define ENCODE_TABLE(w, key, head, fields)                         \
	do {                                                       \
		wire_array(w, key, HASH_COUNT(head));              \
		for (void *e_ = (head); e_ != NULL;                \
		     e_ = ((__typeof__(head))e_)->hh.next)         \
			codec_write(w, fields, COUNT(fields), e_); \
	} while (0)

static void
encode_unknown(struct wire_writer *w, const struct fold *f)
{
	uint64_t stored = f->unknown_count < FOLD_UNKNOWN_MAX
	    ? f->unknown_count
	    : FOLD_UNKNOWN_MAX;
	uint64_t i;

	wire_array(w, "un", (uint32_t)stored);
	for (i = 0; i < stored; i++) {
		wire_map(w, 2);
		wire_u64(w, "o", f->unknown_records[i].offset);
		wire_bin(w, "b", f->unknown_records[i].encoded->data,
		    f->unknown_records[i].encoded->len);
	}
}

struct buf *
fold_encode(const struct fold *f)
{
	struct fold *sorted = (struct fold *)f;
	struct wire_writer w;
	struct buf *tasks;
	size_t i;

	/* The cast is safe: sorting changes only the order of iteration. */
	fold_sort_tables(sorted);
	tasks = fold_tasks_encode(f->tasks);
	if (tasks == NULL)
		err(1, "fold");
	wire_writer_init(&w);
	wire_map(&w, 11);
	wire_u64(&w, "v", FOLD_FORMAT_VERSION);
	wire_array(&w, "sc", 1);
	codec_write(&w, scalar_fields, COUNT(scalar_fields), f);
	wire_bin(&w, "text", f->text ? f->text->source : "",
	    f->text ? f->text->source_len : 0);
	ENCODE_TABLE(&w, "vms", f->vms, vm_fields);
	ENCODE_TABLE(&w, "ds", f->daemons, daemon_fields);
	ENCODE_TABLE(&w, "ws", f->waves, wave_fields);
	ENCODE_TABLE(&w, "as", f->authors, author_fields);
	wire_array(&w, "cl", FOLD_CLOCKS_MAX);
	for (i = 0; i < FOLD_CLOCKS_MAX; i++)
		codec_write(
		    &w, clock_fields, COUNT(clock_fields), &f->clocks[i]);
	wire_array(&w, "vd", FOLD_VERDICTS_MAX);
	for (i = 0; i < FOLD_VERDICTS_MAX; i++)
		codec_write(
		    &w, verdict_fields, COUNT(verdict_fields), &f->verdicts[i]);
	encode_unknown(&w, f);
	wire_bin(&w, "tk", tasks->data, tasks->len);
	buf_unref(tasks);
	return wire_writer_finish(&w);
}

uint64_t
fold_hash(const struct fold *f)
{
	struct buf *b = fold_encode(f);
	uint64_t hash = XXH64(b->data, b->len, 0);

	buf_unref(b);
	return hash;
}

static void *
decode_new(const msgpack_object *o, const struct codec_field *fields,
    size_t count, size_t size)
{
	void *value = calloc(1, size);

	if (value == NULL)
		err(1, "fold");
	codec_read(o, fields, count, value);
	return value;
}

static bool
decode_vms(struct fold *f, const msgpack_object *map)
{
	const msgpack_object_array *list;
	struct vm *v;
	uint32_t i;

	if (!wire_get_array(map, "vms", &list))
		return false;
	for (i = 0; i < list->size; i++) {
		v = decode_new(
		    &list->ptr[i], vm_fields, COUNT(vm_fields), sizeof(*v));
		if (fold_vm_find(f, v->name) != NULL) {
			free(v);
			return false;
		}
		v->config_leaving = fold_config_lists_leaving(f, v->name);
		HASH_ADD_STR(f->vms, name, v);
		fold_count_vm(f, v, 1);
	}
	return true;
}

static bool
decode_tables(struct fold *f, const msgpack_object *map)
{
	const msgpack_object_array *list;
	struct fold_daemon *d;
	struct fold_wave *w;
	struct fold_author *a;
	uint32_t i;

	if (!wire_get_array(map, "ds", &list))
		return false;
	for (i = 0; i < list->size; i++) {
		d = decode_new(&list->ptr[i], daemon_fields,
		    COUNT(daemon_fields), sizeof(*d));
		HASH_ADD(hh, f->daemons, process, sizeof(d->process), d);
	}
	if (!wire_get_array(map, "ws", &list))
		return false;
	for (i = 0; i < list->size; i++) {
		w = decode_new(
		    &list->ptr[i], wave_fields, COUNT(wave_fields), sizeof(*w));
		HASH_ADD_STR(f->waves, data_centre, w);
	}
	if (!wire_get_array(map, "as", &list))
		return false;
	for (i = 0; i < list->size; i++) {
		a = decode_new(&list->ptr[i], author_fields,
		    COUNT(author_fields), sizeof(*a));
		HASH_ADD(hh, f->authors, key, sizeof(a->key), a);
	}
	return true;
}

static bool
decode_rings(struct fold *f, const msgpack_object *map)
{
	const msgpack_object_array *list;
	const uint8_t *bytes;
	size_t len;
	uint32_t i;

	if (!wire_get_array(map, "cl", &list) || list->size != FOLD_CLOCKS_MAX)
		return false;
	for (i = 0; i < list->size; i++)
		codec_read(&list->ptr[i], clock_fields, COUNT(clock_fields),
		    &f->clocks[i]);
	if (!wire_get_array(map, "vd", &list) ||
	    list->size != FOLD_VERDICTS_MAX)
		return false;
	for (i = 0; i < list->size; i++)
		codec_read(&list->ptr[i], verdict_fields, COUNT(verdict_fields),
		    &f->verdicts[i]);
	if (!wire_get_array(map, "un", &list) || list->size > FOLD_UNKNOWN_MAX)
		return false;
	for (i = 0; i < list->size; i++) {
		if (!wire_get_bin(&list->ptr[i], "b", &bytes, &len))
			return false;
		wire_get_u64(&list->ptr[i], "o", &f->unknown_records[i].offset);
		f->unknown_records[i].encoded = buf_from(bytes, len);
	}
	return f->unknown_count >= list->size;
}

static bool
decode_text(struct fold *f, const msgpack_object *map)
{
	const uint8_t *source;
	size_t len;

	if (!wire_get_bin(map, "text", &source, &len))
		return false;
	if (len == 0)
		return f->config_version == 0;
	f->text = text_parse((const char *)source, len, NULL);
	return f->text != NULL;
}

/* States of versions without tasks have no "tk". */
static bool
decode_tasks(struct fold *f, const msgpack_object *map)
{
	const uint8_t *bytes;
	size_t len;

	if (!wire_get_bin(map, "tk", &bytes, &len))
		return true;
	fold_tasks_free(f->tasks);
	f->tasks = fold_tasks_decode(bytes, len, NULL);
	return f->tasks != NULL;
}

static bool
decode_all(struct fold *f, const msgpack_object *map)
{
	const msgpack_object_array *scalars;

	if (!wire_get_array(map, "sc", &scalars) || scalars->size != 1 ||
	    !codec_read(
		&scalars->ptr[0], scalar_fields, COUNT(scalar_fields), f))
		return false;
	return decode_text(f, map) && decode_vms(f, map) &&
	    decode_tables(f, map) && decode_rings(f, map) &&
	    decode_tasks(f, map);
}

struct fold *
fold_decode(const void *data, size_t len, struct err *e)
{
	struct wire_reader rd;
	struct fold *f;
	uint64_t format = 0;

	if (wire_reader_init(&rd, data, len, e) == -1)
		return NULL;
	f = fold_new();
	wire_get_u64(rd.root, "v", &format);
	if (format > FOLD_FORMAT_VERSION) {
		err_set(e, ERR_VERSION, 0, "upgrade this daemon",
		    "fold state: format %llu, this binary reads up to %d",
		    (unsigned long long)format, FOLD_FORMAT_VERSION);
		fold_free(f);
		f = NULL;
	} else if (f != NULL && !decode_all(f, rd.root)) {
		err_set(e, ERR_PROTOCOL, 0,
		    "check that only mimosalead daemons use the log and the "
		    "peer port",
		    "fold state of %zu bytes has missing or invalid fields",
		    len);
		fold_free(f);
		f = NULL;
	}
	wire_reader_uninit(&rd);
	return f;
}
