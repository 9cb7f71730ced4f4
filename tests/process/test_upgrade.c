/* Neighbouring versions side by side: what is unknown is carried on. */
#include "fixture.h"

#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "frame.h"
#include "record.h"
#include "step.h"
#include "wire.h"

#define NEWER_RECORD 77 /* kinds that no version so far knows */
#define NEWER_FRAME 250

/* A record as a newer version may write it: with a field more. */
static void
append_newer(struct fleet *f, unsigned format, unsigned kind, struct buf *body)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 8);
	wire_u64(&w, "f", format);
	wire_u64(&w, "p", 4711);
	wire_u64(&w, "i", kind + format);
	wire_u64(&w, "s", 1);
	wire_u64(&w, "k", kind);
	wire_i64(&w, "t", wall_clock_ms());
	wire_bin(&w, "b", body->data, body->len);
	wire_str(&w, "newer", "field");
	fixture_append(f, wire_writer_finish(&w));
	buf_unref(body);
}

/* A VM entry with a field that this version does not know. */
static struct buf *
newer_vm(void)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 2);
	wire_str(&w, "newer", "field");
	wire_array(&w, "vms", 1);
	wire_map(&w, 9);
	wire_str(&w, "vm", "newer-vm");
	wire_u64(&w, "inc", 5);
	wire_u64(&w, "st", 0);
	wire_u64(&w, "role", 0);
	wire_str(&w, "dc", "elsewhere");
	wire_str(&w, "pool", "payments");
	wire_str(&w, "addr", "127.0.0.1");
	wire_i64(&w, "port", 9);
	wire_str(&w, "newer", "field");
	return wire_writer_finish(&w);
}

static struct buf *
newer_body(void)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 1);
	wire_str(&w, "what", "nobody knows");
	return wire_writer_finish(&w);
}

struct unknown_wait {
	struct fleet *fleet;
	size_t daemon;
};

static bool
status_names_kind(void *arg)
{
	const struct unknown_wait *w = arg;
	struct json_object *o = NULL;
	int64_t n;

	http_json(
	    w->fleet->daemons[w->daemon].admin, "GET", "/status", NULL, &o);
	n = json_int(o, "unknown_records/77", 0);
	json_object_put(o);
	return n == 1;
}

static void
expect_named(struct fleet *f, size_t daemon)
{
	struct unknown_wait w = {f, daemon};

	cr_expect(wait_until(status_names_kind, &w, FIXTURE_LIMIT_MS),
	    "daemon %zu does not name the unknown kind", daemon);
}

Test(upgrade, newer_records_are_carried, .timeout = 90)
{
	struct fleet *f = fixture_running(1, 2, NULL);
	char outcome[16];

	append_newer(f, RECORD_FORMAT_VERSION, NEWER_RECORD, newer_body());
	append_newer(f, RECORD_FORMAT_VERSION, RECORD_VM, newer_vm());
	append_newer(f, RECORD_FORMAT_VERSION + 1, RECORD_VM, newer_vm());
	expect_named(f, 0);
	expect_named(f, 1);
	/* A daemon that starts from its peer's state has them too. */
	proc_signal(f->daemons[1].proc, SIGKILL);
	proc_wait(f->daemons[1].proc, FIXTURE_LIMIT_MS);
	fleet_fault(f->platform_port, "/standin/faults", "{\"down\":true}");
	fleet_start(f, 1);
	cr_assert(fleet_wait_healthy(f, FIXTURE_LIMIT_MS));
	expect_named(f, 1);
	fleet_fault(f->platform_port, "/standin/faults", "{\"down\":false}");
	cr_expect_eq(fixture_post(f, 0, "/payments/deposit", "1", outcome,
			 sizeof(outcome)),
	    200);
	fleet_free(f);
}

static bool
dump_has_newer_vm(void *arg)
{
	struct json_object *o = fleet_dump(arg, 0), *vms;
	bool found = false;
	size_t i;

	vms = json_at(o, "fold/vms");
	for (i = 0; vms != NULL && i < json_object_array_length(vms); i++)
		found |=
		    strcmp(json_string(json_object_array_get_idx(vms, i), "vm"),
			"newer-vm") == 0;
	json_object_put(o);
	return found;
}

Test(upgrade, fields_of_newer_records_are_passed_over, .timeout = 60)
{
	struct fleet *f = fixture_running(1, 1, NULL);

	append_newer(f, RECORD_FORMAT_VERSION, RECORD_VM, newer_vm());
	cr_expect(wait_until(dump_has_newer_vm, f, FIXTURE_LIMIT_MS),
	    "the VM is not on record");
	fleet_free(f);
}

static void
send_frame(int fd, unsigned kind, struct buf *payload)
{
	struct frame f = {.protocol = FRAME_PROTOCOL_VERSION,
	    .kind = kind,
	    .source = daemon_id("newer-daemon"),
	    .incarnation = 99,
	    .payload = payload};
	struct buf *b = frame_encode(&f);

	send(fd, b->data, b->len, MSG_NOSIGNAL);
	buf_unref(b);
	buf_unref(payload);
}

static struct buf *
newer_hello(const char *data_centre)
{
	struct wire_writer w;

	wire_writer_init(&w);
	wire_map(&w, 4);
	wire_str(&w, "name", "newer-daemon");
	wire_str(&w, "data_centre", data_centre);
	wire_str(&w, "peer", "127.0.0.1:1");
	wire_str(&w, "newer", "field");
	return wire_writer_finish(&w);
}

/* Reads frames until one of this kind; false when the link closes. */
static bool
read_until(int fd, unsigned kind)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	uint8_t *data = calloc(1, FRAME_MAX_BYTES);
	int64_t end = clock_ms() + FIXTURE_LIMIT_MS;
	size_t used = 0, len;
	struct frame f;
	bool found = false;
	ssize_t n;

	while (!found && clock_ms() < end && poll(&p, 1, 1000) >= 0) {
		if ((p.revents & (POLLIN | POLLHUP)) == 0)
			continue;
		n = recv(fd, data + used, FRAME_MAX_BYTES - used, 0);
		if (n <= 0)
			break;
		used += (size_t)n;
		while (used > 4 && !found) {
			len = (size_t)data[0] << 24 | (size_t)data[1] << 16 |
			    (size_t)data[2] << 8 | data[3];
			if (used < 4 + len)
				break;
			cr_assert_eq(frame_decode(&f, data + 4, len, NULL), 0);
			found = f.kind == kind;
			frame_uninit(&f);
			used -= 4 + len;
			memmove(data, data + 4 + len, used);
		}
	}
	free(data);
	return found;
}

Test(upgrade, newer_frames_keep_the_link, .timeout = 60)
{
	struct fleet *f = fixture_running(1, 1, NULL);
	int fd = raw_connect(f->daemons[0].peer);
	char outcome[16];

	cr_assert_neq(fd, -1);
	send_frame(fd, FRAME_HELLO, newer_hello(f->daemons[0].data_centre));
	cr_expect(read_until(fd, FRAME_HELLO), "no HELLO");
	send_frame(fd, NEWER_FRAME, newer_body());
	send_frame(fd, NEWER_FRAME, newer_body());
	/* The daemon still pings us over the same link. */
	cr_expect(read_until(fd, FRAME_PING), "the link was closed");
	cr_expect_eq(fixture_post(f, 0, "/payments/deposit", "1", outcome,
			 sizeof(outcome)),
	    200);
	close(fd);
	fleet_free(f);
}
