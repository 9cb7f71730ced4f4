/* Admission of the operators' texts (RECORD_CONFIG). */
#include <err.h>
#include <stdio.h>
#include <string.h>

#include "fold_state.h"

static void
fold_config_add_verdict(
    struct fold *f, const struct record *r, bool admitted, const char *reason)
{
	struct fold_verdict *d;

	d = &f->verdicts[f->verdict_count++ % FOLD_VERDICTS_MAX];
	memset(d, 0, sizeof(*d));
	d->id = r->id;
	d->offset = r->offset;
	d->admitted = admitted;
	snprintf(d->reason, sizeof(d->reason), "%s", reason);
}

static bool
fold_config_reject(struct fold *f, const struct record *r, const char *reason)
{
	fold_config_add_verdict(f, r, false, reason);
	return false;
}

/*
 * Appends bytes "at" to "end" (exclusive) of the base; false if the range is
 * invalid.
 */
static bool
splice_copy(struct buf *out, const struct text *base, size_t at, size_t end)
{
	if (end < at || end > base->source_len)
		return false;
	return buf_append(out, base->source + at, end - at) == 0;
}

/*
 * Applies splices [{"at": offset in the base, "del": bytes to delete, "ins":
 * bytes to insert}], sorted by "at".  NULL if a splice is malformed, is out of
 * range or makes the text larger than TEXT_MAX_BYTES.
 */
static struct buf *
config_splice(const struct text *base, const msgpack_object_array *splices)
{
	const uint8_t *ins;
	struct buf *out;
	uint64_t at, del, done = 0;
	size_t len;
	uint32_t i;

	out = buf_new(base->source_len + 1);
	if (out == NULL)
		err(1, "fold");
	for (i = 0; i < splices->size; i++) {
		if (!wire_get_u64(&splices->ptr[i], "at", &at) ||
		    !wire_get_u64(&splices->ptr[i], "del", &del) ||
		    !wire_get_bin(&splices->ptr[i], "ins", &ins, &len) ||
		    del > base->source_len ||
		    !splice_copy(out, base, done, at) ||
		    out->len + len > TEXT_MAX_BYTES)
			goto bad;
		buf_append(out, ins, len);
		done = at + del;
	}
	if (splice_copy(out, base, done, base->source_len))
		return out;
bad:
	buf_unref(out);
	return NULL;
}

/* The complete new text, from "text" or from "splices"; NULL if invalid. */
static struct buf *
config_source(const struct fold *f, const msgpack_object *body)
{
	const msgpack_object_array *splices;
	const uint8_t *source;
	size_t len;

	if (wire_get_bin(body, "text", &source, &len))
		return buf_from(source, len);
	if (f->text != NULL && wire_get_array(body, "splices", &splices))
		return config_splice(f->text, splices);
	return NULL;
}

static bool
fold_config_admit(
    struct fold *f, const struct record *r, const struct buf *source)
{
	struct text_errors errors = {0};
	struct text *t, *old = f->text;

	t = text_parse((const char *)source->data, source->len, &errors);
	if (t == NULL) {
		fold_config_reject(f, r,
		    errors.count > 0 ? errors.list[0].message : "bad text");
		text_errors_uninit(&errors);
		return false;
	}
	text_errors_uninit(&errors);
	f->text = t;
	f->config_version = r->offset;
	fold_update_config_leaving(f, old);
	fold_waves_resume(f);
	text_unref(old);
	fold_config_add_verdict(f, r, true, "");
	return true;
}

/*
 * Applies {"base": version that the author edited, "text": bin}, or the same
 * with "splices" (changed parts only) in place of "text".  The text is
 * admitted if the base is the version in force and the text is valid.
 */
bool
fold_config_apply(struct fold *f, const struct fold_input *in)
{
	char reason[ERR_MESSAGE_BYTES];
	struct buf *source;
	uint64_t base;
	bool admitted;

	if (!wire_get_u64(in->body, "base", &base))
		return fold_config_reject(f, in->record, "malformed record");
	if (base != f->config_version || in->record->offset == 0) {
		snprintf(reason, sizeof(reason),
		    "based on version %llu, but %llu is in force",
		    (unsigned long long)base,
		    (unsigned long long)f->config_version);
		return fold_config_reject(f, in->record, reason);
	}
	source = config_source(f, in->body);
	if (source == NULL)
		return fold_config_reject(
		    f, in->record, "no text, or splices past the base's end");
	admitted = fold_config_admit(f, in->record, source);
	buf_unref(source);
	return admitted;
}
