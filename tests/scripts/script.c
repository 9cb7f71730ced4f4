/*
 * Runs one script against one core: each line is an event, each effect is
 * printed.  "script FILE" prints what tests/run.sh compares with the
 * .expected file.  See tests/scripts/README.md for the commands.
 */
#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bounds.h"
#include "step.h"
#include "wire.h"

#define SCRIPT_WORDS_MAX 32
#define SCRIPT_ITEMS_MAX 1024
#define SCRIPT_WALL_MS INT64_C(1800000000000)

struct script_text {
	char name[NAME_BYTES];
	char *source;
};

struct script {
	FILE *in;
	struct core *core;
	int64_t now_us;
	struct effects fx;
	struct script_text texts[16];
	size_t text_count;
	struct vm_list_entry vms[SCRIPT_ITEMS_MAX];
	size_t vm_count;
	/* a log of each stream, as the script's platform holds it */
	struct buf *log[STREAM_COUNT][SCRIPT_ITEMS_MAX];
	uint64_t next[STREAM_COUNT], first[STREAM_COUNT];
	uint64_t read_from[STREAM_COUNT];
	/* appends that wait for their result, oldest first */
	struct effect pending[SCRIPT_ITEMS_MAX];
	size_t pending_count;
	/* attempts are printed as a1, a2, … in order of their start */
	uint64_t attempts[SCRIPT_ITEMS_MAX];
	size_t attempt_count;
	char peers[16][NAME_BYTES];
	size_t peer_count;
};

static const char *
peer_name(const struct script *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->peer_count; i++) {
		if (daemon_id(s->peers[i]) == id)
			return s->peers[i];
	}
	return "?";
}

static size_t
attempt_number(const struct script *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->attempt_count; i++) {
		if (s->attempts[i] == id)
			return i + 1;
	}
	return 0;
}

static void
print_body(const struct buf *b)
{
	struct wire_reader r;

	if (b == NULL || wire_reader_init(&r, b->data, b->len, NULL) == -1) {
		printf(" (%zu bytes)\n", b ? b->len : 0);
		return;
	}
	printf(" ");
	msgpack_object_print(stdout, *r.root);
	printf("\n");
	wire_reader_uninit(&r);
}

static void
print_append(const struct effect *x)
{
	struct record r;
	struct err e = {0};
	const struct buf *b = x->u.append.record;

	printf("  append stream=%s", stream_name(x->u.append.stream));
	if (record_decode(&r, b->data, b->len, &e) == -1) {
		printf(" undecodable: %s\n", e.message);
		return;
	}
	printf(" kind=%u seq=%" PRIu64, r.kind, r.id.seq);
	if (r.kind == RECORD_SNAPSHOT)
		printf(" (%s)\n", "snapshot chunk");
	else
		print_body(r.body);
	record_uninit(&r);
}

static void
print_effect(struct script *s, const struct effect *x)
{
	switch (x->kind) {
	case EFFECT_ATTEMPT:
		s->attempts[s->attempt_count++] = x->u.attempt.id;
		printf("  attempt a%zu request=%" PRIu64 " vm=%s\n",
		    s->attempt_count, x->u.attempt.request, x->u.attempt.vm);
		break;
	case EFFECT_ATTEMPT_CANCEL:
		printf("  cancel a%zu\n", attempt_number(s, x->u.cancel.id));
		break;
	case EFFECT_ANSWER:
		printf("  answer request=%" PRIu64 " outcome=%s status=%d"
		       " reason=%s%s\n",
		    x->u.answer.request, outcome_name(x->u.answer.outcome),
		    x->u.answer.status,
		    x->u.answer.reason ? x->u.answer.reason : "-",
		    x->u.answer.retry_after_ms > 0 ? " retry-after" : "");
		break;
	case EFFECT_PEER_SEND:
		printf("  send to=%s kind=%s",
		    peer_name(s, x->u.peer_send.peer),
		    frame_kind_name(x->u.peer_send.kind));
		print_body(x->u.peer_send.payload);
		break;
	case EFFECT_READ:
		s->read_from[x->u.read.stream] = x->u.read.from;
		printf("  read stream=%s from=%" PRIu64 "\n",
		    stream_name(x->u.read.stream), x->u.read.from);
		break;
	case EFFECT_APPEND:
		print_append(x);
		s->pending[s->pending_count] = *x;
		buf_ref(x->u.append.record);
		s->pending_count++;
		break;
	case EFFECT_PLATFORM:
		printf("  platform op=%s key=%" PRIu64 " vm=%s pool=%s"
		       " task=%" PRIu64 " epoch=%" PRIu64 "\n",
		    platform_op_name(x->u.platform.op), x->u.platform.key,
		    x->u.platform.vm, x->u.platform.pool, x->u.platform.task,
		    x->u.platform.epoch);
		break;
	case EFFECT_LOG:
		if (x->u.log.level <= LOG_LEVEL_INFO)
			printf("  log %s\n", x->u.log.line);
		break;
	case EFFECT_STOPPED:
		printf("  stopped\n");
		break;
	}
}

static void
step_event(struct script *s, struct event *ev)
{
	size_t i;

	if (s->core == NULL)
		errx(1, "script: no daemon yet");
	ev->now_us = s->now_us;
	ev->wall_ms = SCRIPT_WALL_MS + s->now_us / US_PER_MS;
	core_step(s->core, ev, &s->fx);
	for (i = 0; i < s->fx.count; i++)
		print_effect(s, &s->fx.list[i]);
	effects_clear(&s->fx);
}

/* "key=value" among the words; "def" where it is missing. */
static const char *
word_value(char **w, size_t n, const char *key, const char *def)
{
	size_t i, len = strlen(key);

	for (i = 0; i < n; i++) {
		if (strncmp(w[i], key, len) == 0 && w[i][len] == '=')
			return w[i] + len + 1;
	}
	return def;
}

static uint64_t
word_number(char **w, size_t n, const char *key, uint64_t def)
{
	const char *v = word_value(w, n, key, NULL);

	return v ? strtoull(v, NULL, 10) : def;
}

static void
cmd_daemon(struct script *s, char **w, size_t n)
{
	struct core_opts o = {.name = w[1],
	    .data_centre = w[2],
	    .incarnation = word_number(w, n, "incarnation", 1),
	    .seed = 1};

	core_free(s->core);
	s->core = core_new(&o);
}

static void
cmd_text(struct script *s, char **w)
{
	struct script_text *t = &s->texts[s->text_count++];
	struct buf *b = buf_new(0);
	char line[1024];

	snprintf(t->name, sizeof(t->name), "%s", w[1]);
	while (fgets(line, sizeof(line), s->in) != NULL &&
	    strcmp(line, "end\n") != 0)
		buf_append(b, line, strlen(line));
	buf_append(b, "", 1);
	t->source = strdup((char *)b->data);
	buf_unref(b);
}

static void
log_append(struct script *s, enum stream st, struct buf *record)
{
	s->log[st][s->next[st]++] = record;
}

static void
cmd_config(struct script *s, char **w, size_t n)
{
	struct record r = {
	    .format = RECORD_FORMAT_VERSION, .kind = RECORD_CONFIG};
	struct wire_writer wr;
	size_t i;

	for (i = 0; i < s->text_count; i++) {
		if (strcmp(s->texts[i].name, w[1]) == 0)
			break;
	}
	if (i == s->text_count)
		errx(1, "script: no text %s", w[1]);
	wire_writer_init(&wr);
	wire_map(&wr, 2);
	wire_u64(&wr, "base", word_number(w, n, "base", 0));
	wire_bin(&wr, "text", s->texts[i].source, strlen(s->texts[i].source));
	r.body = wire_writer_finish(&wr);
	r.id.process = word_number(w, n, "process", 77);
	r.id.incarnation = word_number(w, n, "incarnation", s->next[0] + 1);
	r.id.seq = word_number(w, n, "seq", 1);
	log_append(s, STREAM_CONTROL, record_encode(&r));
	record_uninit(&r);
}

/* record KIND key=value …: a record of somebody else; numbers become u64. */
static void
pack_words(struct wire_writer *wr, char **w, size_t n)
{
	size_t i;
	char *eq, *end;
	uint64_t v;

	wire_map(wr, (uint32_t)n);
	for (i = 0; i < n; i++) {
		eq = strchr(w[i], '=');
		if (eq == NULL)
			errx(1, "script: %s is not key=value", w[i]);
		*eq = '\0';
		v = strtoull(eq + 1, &end, 10);
		if (*end == '\0' && end != eq + 1)
			wire_u64(wr, w[i], v);
		else
			wire_str(wr, w[i], eq + 1);
		*eq = '=';
	}
}

static void
cmd_record(struct script *s, char **w, size_t n)
{
	struct record r = {.format = RECORD_FORMAT_VERSION};
	struct wire_writer wr;

	r.kind = (unsigned)strtoul(w[1], NULL, 10);
	wire_writer_init(&wr);
	pack_words(&wr, w + 2, n - 2);
	r.body = wire_writer_finish(&wr);
	r.id.process = 78;
	r.id.incarnation = s->next[0] + 1;
	r.id.seq = 1;
	log_append(s, STREAM_CONTROL, record_encode(&r));
	record_uninit(&r);
}

static void
cmd_read(struct script *s, char **w, size_t n)
{
	enum stream st = STREAM_CONTROL;
	struct record list[SCRIPT_ITEMS_MAX];
	struct event ev = {.kind = EVENT_LOG_BATCH};
	struct err e = {0};
	uint64_t off;
	size_t i, count = 0;

	if (n > 1 && strcmp(w[1], "claims") == 0)
		st = STREAM_CLAIMS;
	for (off = s->read_from[st]; off < s->next[st]; off++) {
		if (record_decode(&list[count], s->log[st][off]->data,
			s->log[st][off]->len, &e) == -1)
			ev.u.log_batch.bad++;
		else
			list[count++].offset = off;
	}
	ev.u.log_batch.stream = st;
	ev.u.log_batch.records = list;
	ev.u.log_batch.count = count;
	ev.u.log_batch.next = s->next[st];
	ev.u.log_batch.tail = s->next[st];
	ev.u.log_batch.first = s->first[st];
	step_event(s, &ev);
	for (i = 0; i < count; i++)
		record_uninit(&list[i]);
}

/* append done|not-done|lost|unknown: result of the oldest open append. */
static void
cmd_append(struct script *s, char **w)
{
	struct event ev = {.kind = EVENT_APPEND_RESULT};
	struct effect x = s->pending[0];
	enum stream st = x.u.append.stream;

	if (s->pending_count == 0)
		errx(1, "script: no append is open");
	memmove(s->pending, s->pending + 1,
	    --s->pending_count * sizeof(s->pending[0]));
	ev.u.append.token = x.u.append.token;
	ev.u.append.outcome = APPEND_UNKNOWN;
	if (strcmp(w[1], "done") == 0)
		ev.u.append.outcome = APPEND_DONE;
	else if (strcmp(w[1], "not-done") == 0)
		ev.u.append.outcome = APPEND_NOT_DONE;
	if (strcmp(w[1], "done") == 0 || strcmp(w[1], "lost") == 0) {
		ev.u.append.offset = s->next[st];
		log_append(s, st, x.u.append.record);
	} else
		buf_unref(x.u.append.record);
	step_event(s, &ev);
}

static void
cmd_vm(struct script *s, char **w, size_t n)
{
	struct vm_list_entry *v = NULL;
	const char *state = word_value(w, n, "state", "live");
	size_t i;

	for (i = 0; i < s->vm_count; i++) {
		if (strcmp(s->vms[i].vm, w[1]) == 0)
			v = &s->vms[i];
	}
	if (v == NULL) {
		v = &s->vms[s->vm_count++];
		snprintf(v->vm, NAME_BYTES, "%s", w[1]);
		v->incarnation = 1;
	}
	snprintf(
	    v->data_centre, NAME_BYTES, "%s", word_value(w, n, "dc", "dc1"));
	snprintf(v->failure_domain, NAME_BYTES, "%s",
	    word_value(w, n, "fd", "rack1"));
	snprintf(v->pool, NAME_BYTES, "%s", word_value(w, n, "pool", "main"));
	snprintf(v->addr, ADDR_BYTES, "127.0.0.1");
	v->port = 1;
	v->incarnation = word_number(w, n, "incarnation", v->incarnation);
	v->cores = 64;
	v->memory_mb = 262144;
	v->state = VM_LIST_LIVE;
	if (strcmp(state, "leaving") == 0)
		v->state = VM_LIST_LEAVING;
	else if (strcmp(state, "gone") == 0)
		v->state = VM_LIST_GONE;
}

static void
cmd_vmlist(struct script *s)
{
	struct event ev = {.kind = EVENT_VM_LIST};

	ev.u.vm_list.whole = true;
	ev.u.vm_list.list = s->vms;
	ev.u.vm_list.count = s->vm_count;
	step_event(s, &ev);
}

static void
cmd_request(struct script *s, char **w, size_t n)
{
	struct event ev = {.kind = EVENT_REQUEST};
	struct request *r = request_new(w[2], w[3]);
	char *eq;
	size_t i;

	for (i = 4; i < n; i++) {
		eq = strchr(w[i], '=');
		if (eq == NULL)
			errx(1, "script: %s is not header=value", w[i]);
		*eq = '\0';
		headers_add(&r->headers, w[i], eq + 1);
	}
	ev.u.request.id = strtoull(w[1], NULL, 10);
	ev.u.request.request = r;
	step_event(s, &ev);
	request_unref(r);
}

static uint64_t
attempt_id(const struct script *s, const char *word)
{
	size_t i = strtoul(word + 1, NULL, 10);

	if (i == 0 || i > s->attempt_count)
		errx(1, "script: no attempt %s", word);
	return s->attempts[i - 1];
}

static void
cmd_attempt(struct script *s, char **w)
{
	static const char *const failures[] = {[ATTEMPT_UNSENT] = "unsent",
	    [ATTEMPT_REFUSED] = "refused",
	    [ATTEMPT_LOST] = "lost",
	    [ATTEMPT_TRUNCATED] = "truncated",
	    [ATTEMPT_TIMEOUT] = "timeout"};
	struct event ev = {.kind = EVENT_ATTEMPT_SENT};
	size_t i;

	ev.u.sent.id = attempt_id(s, w[1]);
	if (strcmp(w[0], "answered") == 0) {
		ev.kind = EVENT_ATTEMPT_ANSWERED;
		ev.u.answered.id = attempt_id(s, w[1]);
		ev.u.answered.answer = answer_new(atoi(w[2]));
		step_event(s, &ev);
		answer_unref(ev.u.answered.answer);
		return;
	}
	if (strcmp(w[0], "failed") == 0) {
		ev.kind = EVENT_ATTEMPT_FAILED;
		ev.u.failed.id = attempt_id(s, w[1]);
		for (i = 0; i < sizeof(failures) / sizeof(failures[0]); i++) {
			if (strcmp(w[2], failures[i]) == 0)
				ev.u.failed.failure = (enum attempt_failure)i;
		}
	}
	step_event(s, &ev);
}

static void
cmd_peer(struct script *s, char **w, size_t n)
{
	struct event ev = {.kind = EVENT_PEER_UP};

	if (strcmp(w[1], "down") == 0) {
		ev.kind = EVENT_PEER_DOWN;
		ev.u.peer_down.peer = daemon_id(w[2]);
		ev.u.peer_down.incarnation =
		    word_number(w, n, "incarnation", 1);
		step_event(s, &ev);
		return;
	}
	snprintf(s->peers[s->peer_count++], NAME_BYTES, "%s", w[2]);
	ev.u.peer_up.peer = daemon_id(w[2]);
	ev.u.peer_up.incarnation = word_number(w, n, "incarnation", 1);
	snprintf(ev.u.peer_up.name, NAME_BYTES, "%s", w[2]);
	snprintf(ev.u.peer_up.data_centre, NAME_BYTES, "%s",
	    word_value(w, n, "dc", "dc1"));
	step_event(s, &ev);
}

/* frame NAME KIND [request=N] key=value …: a frame from a peer. */
static void
cmd_frame(struct script *s, char **w, size_t n)
{
	struct frame f = {.protocol = FRAME_PROTOCOL_VERSION, .incarnation = 1};
	struct event ev = {.kind = EVENT_PEER_FRAME};
	struct wire_writer wr;
	size_t skip = 3;
	unsigned k;

	for (k = 1; k < 128; k++) {
		if (strcmp(frame_kind_name(k), w[2]) == 0)
			f.kind = k;
	}
	if (f.kind == 0)
		f.kind = (unsigned)strtoul(w[2], NULL, 10);
	f.source = daemon_id(w[1]);
	if (n > 3 && strncmp(w[3], "request=", 8) == 0) {
		f.request_id = strtoull(w[3] + 8, NULL, 10);
		skip = 4;
	}
	wire_writer_init(&wr);
	pack_words(&wr, w + skip, n - skip);
	f.payload = wire_writer_finish(&wr);
	ev.u.peer_frame.frame = &f;
	step_event(s, &ev);
	frame_uninit(&f);
}

static void
cmd_platform(struct script *s, char **w)
{
	struct event ev = {.kind = EVENT_PLATFORM_RESULT};

	ev.u.platform.key = strtoull(w[1], NULL, 10);
	ev.u.platform.outcome =
	    strcmp(w[2], "done") == 0 ? APPEND_DONE : APPEND_NOT_DONE;
	step_event(s, &ev);
}

static void
cmd_simple(struct script *s, enum event_kind kind)
{
	struct event ev = {.kind = kind};

	if (kind == EVENT_LOG_GAP) {
		ev.u.log_gap.first = s->first[0];
		ev.u.log_gap.tail = s->next[0];
	}
	step_event(s, &ev);
}

static void
cmd_status(struct script *s)
{
	struct json_object *o = core_status(s->core);

	printf(
	    "%s\n", json_object_to_json_string_ext(o, JSON_C_TO_STRING_PRETTY));
	json_object_put(o);
}

static void
run_command(struct script *s, char **w, size_t n)
{
	const char *c = w[0];

	if (strcmp(c, "daemon") == 0)
		cmd_daemon(s, w, n);
	else if (strcmp(c, "at") == 0)
		s->now_us = strtoll(w[1], NULL, 10) * US_PER_MS;
	else if (strcmp(c, "tick") == 0)
		cmd_simple(s, EVENT_TICK);
	else if (strcmp(c, "text") == 0)
		cmd_text(s, w);
	else if (strcmp(c, "config") == 0)
		cmd_config(s, w, n);
	else if (strcmp(c, "record") == 0)
		cmd_record(s, w, n);
	else if (strcmp(c, "read") == 0)
		cmd_read(s, w, n);
	else if (strcmp(c, "read-error") == 0)
		cmd_simple(s, EVENT_LOG_ERROR);
	else if (strcmp(c, "retain") == 0)
		s->first[0] = strtoull(w[1], NULL, 10);
	else if (strcmp(c, "gap") == 0)
		cmd_simple(s, EVENT_LOG_GAP);
	else if (strcmp(c, "append") == 0)
		cmd_append(s, w);
	else if (strcmp(c, "vm") == 0)
		cmd_vm(s, w, n);
	else if (strcmp(c, "vmlist") == 0)
		cmd_vmlist(s);
	else if (strcmp(c, "request") == 0)
		cmd_request(s, w, n);
	else if (strcmp(c, "gone") == 0) {
		struct event ev = {.kind = EVENT_CALLER_GONE};

		ev.u.caller_gone.id = strtoull(w[1], NULL, 10);
		step_event(s, &ev);
	} else if (strcmp(c, "sent") == 0 || strcmp(c, "answered") == 0 ||
	    strcmp(c, "failed") == 0)
		cmd_attempt(s, w);
	else if (strcmp(c, "peer") == 0)
		cmd_peer(s, w, n);
	else if (strcmp(c, "frame") == 0)
		cmd_frame(s, w, n);
	else if (strcmp(c, "platform") == 0)
		cmd_platform(s, w);
	else if (strcmp(c, "stop") == 0)
		cmd_simple(s, EVENT_STOP);
	else if (strcmp(c, "status") == 0)
		cmd_status(s);
	else
		errx(1, "script: unknown command %s", c);
}

static size_t
split_words(char *line, char **w)
{
	char *save, *p;
	size_t n = 0;

	for (p = strtok_r(line, " \t\n", &save);
	     p != NULL && n < SCRIPT_WORDS_MAX - 1;
	     p = strtok_r(NULL, " \t\n", &save))
		w[n++] = p;
	/* Commands may look at words that a line does not have. */
	w[n] = NULL;
	return n;
}

static void
script_uninit(struct script *s)
{
	size_t i, st;

	core_free(s->core);
	effects_uninit(&s->fx);
	for (i = 0; i < s->text_count; i++)
		free(s->texts[i].source);
	for (i = 0; i < s->pending_count; i++)
		buf_unref(s->pending[i].u.append.record);
	for (st = 0; st < STREAM_COUNT; st++) {
		for (i = 0; i < s->next[st]; i++)
			buf_unref(s->log[st][i]);
	}
}

int
main(int argc, char **argv)
{
	static struct script s;
	char line[1024], *w[SCRIPT_WORDS_MAX];
	size_t n;

	if (argc != 2 || (s.in = fopen(argv[1], "r")) == NULL)
		errx(1, "usage: script FILE");
	effects_init(&s.fx);
	while (fgets(line, sizeof(line), s.in) != NULL) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		printf("> %s", line);
		n = split_words(line, w);
		run_command(&s, w, n);
	}
	fclose(s.in);
	script_uninit(&s);
	return 0;
}
