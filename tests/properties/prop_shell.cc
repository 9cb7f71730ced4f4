// What the daemon reads from peers and from the platform, in any portions and
// with any damage.
#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include "prop.h"

extern "C" {
#include "frame_reader.h"
#include "platform.h"
}

struct sink {
	std::vector<uint64_t> requests;
	std::vector<std::string> payloads;
};

static int
on_frame(void *arg, const struct frame *f)
{
	auto *s = static_cast<sink *>(arg);

	s->requests.push_back(f->request_id);
	s->payloads.emplace_back(
	    reinterpret_cast<const char *>(f->payload->data), f->payload->len);
	return 0;
}

static std::string
frame_bytes(uint64_t request, const std::string &payload)
{
	struct frame f = {};
	struct buf *b;

	f.kind = FRAME_GOSSIP;
	f.source = 7;
	f.incarnation = 9;
	f.request_id = request;
	f.payload = buf_from(payload.data(), payload.size());
	b = frame_encode(&f);
	std::string out(reinterpret_cast<const char *>(b->data), b->len);
	buf_unref(b);
	buf_unref(f.payload);
	return out;
}

// Feeds bytes in portions of the given sizes, over and over.
static int
feed(struct frame_reader *fr, const std::string &bytes,
    const std::vector<uint8_t> &portions, sink *s, struct err *e)
{
	size_t at = 0, i = 0;

	while (at < bytes.size()) {
		size_t n = portions.empty() ? bytes.size()
					    : portions[i++ % portions.size()];

		n = std::min(n + 1, bytes.size() - at);
		if (frame_reader_feed(
			fr, bytes.data() + at, n, on_frame, s, e) == -1)
			return -1;
		at += n;
		if (fr->body != nullptr)
			RC_ASSERT(fr->body->cap <= 2 * at + 128);
	}
	return 0;
}

static void
frames_arrive_whole(
    const std::vector<std::string> &payloads, const std::vector<uint8_t> &parts)
{
	struct frame_reader fr;
	struct err e = {};
	std::string bytes;
	sink s;

	for (size_t i = 0; i < payloads.size(); i++)
		bytes += frame_bytes(i, payloads[i]);
	frame_reader_init(&fr);
	RC_ASSERT(feed(&fr, bytes, parts, &s, &e) == 0);
	frame_reader_uninit(&fr);
	RC_ASSERT(s.payloads == payloads);
	for (size_t i = 0; i < s.requests.size(); i++)
		RC_ASSERT(s.requests[i] == i);
}

// Half of them begin with a plausible length and lack most of its bytes.
static void
any_bytes_are_bounded(
    const std::string &tail, const std::vector<uint8_t> &parts)
{
	uint32_t n = *rc::gen::inRange<uint32_t>(0, FRAME_MAX_BYTES + 100);
	std::string bytes = tail;

	if (*rc::gen::arbitrary<bool>())
		bytes = std::string{char(n >> 24), char(n >> 16), char(n >> 8),
			    char(n)} +
		    tail;
	struct frame_reader fr;
	struct err e = {};
	sink s;

	frame_reader_init(&fr);
	if (feed(&fr, bytes, parts, &s, &e) == -1)
		RC_ASSERT(e.kind != ERR_NONE);
	frame_reader_uninit(&fr);
}

// A frame with one byte changed is refused or is a frame; never more.
static void
damaged_frames_stay_single(const std::string &payload)
{
	std::string bytes = frame_bytes(1, payload);
	struct frame_reader fr;
	struct err e = {};
	sink s;

	bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
	    *rc::gen::arbitrary<char>();
	frame_reader_init(&fr);
	(void)frame_reader_feed(
	    &fr, bytes.data(), bytes.size(), on_frame, &s, &e);
	frame_reader_uninit(&fr);
	RC_ASSERT(s.payloads.size() <= 1u);
}

// JSON that is nearly an answer of the platform.
static std::string
nearly(const std::string &answer)
{
	std::string s = answer;
	auto edits =
	    *rc::gen::container<std::vector<std::pair<uint16_t, char>>>(
		rc::gen::pair(rc::gen::arbitrary<uint16_t>(),
		    rc::gen::arbitrary<char>()));

	for (const auto &edit : edits) {
		if (edits.size() > 6)
			break;
		s[edit.first % s.size()] = edit.second;
	}
	if (*rc::gen::inRange(0, 4) == 0)
		s.resize(*rc::gen::inRange<size_t>(0, s.size()));
	return s;
}

static const std::string vms_answer =
    R"({"revision":12,"whole":true,"vms":[{"vm":"w1","incarnation":5,)"
    R"("data_centre":"dc1","failure_domain":"rack1","pool":"p","addr":)"
    R"("127.0.0.1","port":8080,"role":"worker","state":"live","cores":64,)"
    R"("memory_mb":1024,"accelerators":0},{"vm":"e1","incarnation":6,)"
    R"("data_centre":"dc1","addr":"127.0.0.1","port":7000,"role":"entry",)"
    R"("state":"leaving"}]})";
static const std::string usage_answer =
    R"({"revision":3,"usage":[{"vm":"w1","incarnation":5,"task":-7,"epoch":2,)"
    R"("cores_milli":1500,"memory_mb":10,"accelerators":1,"state":0}]})";

// A read with two real records at the given offsets.
static std::string
batch_answer(uint64_t first, uint64_t second)
{
	struct record r = {};
	struct platform_call c;
	struct buf *b;
	std::string data;

	r.kind = RECORD_CONFIG;
	r.body = buf_from("x", 1);
	b = record_encode(&r);
	RC_ASSERT(platform_append_call(&c, STREAM_CONTROL, b) == 0);
	data.assign(
	    reinterpret_cast<const char *>(c.body->data) + 1, c.body->len - 2);
	platform_call_uninit(&c);
	buf_unref(b);
	buf_unref(r.body);
	return R"({"first":0,"next":9,"tail":9,"records":[{"offset":)" +
	    std::to_string(first) + "," + data + R"(},{"offset":)" +
	    std::to_string(second) + "," + data + "}]}";
}

static void
vm_lists_are_checked()
{
	std::string s = nearly(vms_answer);
	struct platform_vms v;
	struct err e = {};

	if (platform_parse_vms(&v, s.data(), s.size(), &e) == -1) {
		RC_ASSERT(e.kind != ERR_NONE);
		return;
	}
	for (size_t i = 0; i < v.count; i++) {
		const struct vm_list_entry &x = v.list[i];

		RC_ASSERT(x.vm[0] != '\0');
		RC_ASSERT(strnlen(x.vm, sizeof(x.vm)) < sizeof(x.vm));
		RC_ASSERT(strnlen(x.addr, sizeof(x.addr)) < sizeof(x.addr));
		RC_ASSERT(x.port >= 0 && x.port <= 65535);
		RC_ASSERT(x.cores >= 0 && x.memory_mb >= 0);
	}
	platform_vms_uninit(&v);
}

static void
usage_lists_are_checked()
{
	std::string s = nearly(usage_answer);
	struct platform_usage u;
	struct err e = {};

	if (platform_parse_usage(&u, s.data(), s.size(), &e) == -1) {
		RC_ASSERT(e.kind != ERR_NONE);
		return;
	}
	for (size_t i = 0; i < u.count; i++) {
		RC_ASSERT(u.list[i].state >= 0);
		RC_ASSERT(u.list[i].cores_milli >= 0);
	}
	platform_usage_uninit(&u);
}

static void
batches_are_in_order()
{
	std::string s = nearly(
	    batch_answer(*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9)));
	struct platform_batch b;
	struct err e = {};

	if (platform_parse_batch(&b, s.data(), s.size(), &e) == -1) {
		RC_ASSERT(e.kind != ERR_NONE);
		return;
	}
	for (size_t i = 1; i < b.count; i++)
		RC_ASSERT(b.records[i].offset > b.records[i - 1].offset);
	platform_batch_uninit(&b);
}

int
main()
{
	prop_check(
	    "shell.frames_arrive_whole_in_any_portions", frames_arrive_whole);
	prop_check(
	    "shell.any_bytes_from_a_peer_are_bounded", any_bytes_are_bounded);
	prop_check(
	    "shell.damaged_frames_stay_single", damaged_frames_stay_single);
	prop_check("shell.vm_lists_are_checked", vm_lists_are_checked);
	prop_check("shell.usage_lists_are_checked", usage_lists_are_checked);
	prop_check("shell.batches_are_in_order", batches_are_in_order);
	return prop_failures == 0 ? 0 : 1;
}
