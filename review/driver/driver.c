#include "driver.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define START_MS 15000 /* until the daemons are ready */

static int64_t began_ms;

static const char config_text[] =
    "{\"configVersion\":1,\"routes\":["
    "{\"name\":\"seats\",\"host\":\"jobs.example\","
    "\"pathPrefix\":\"/seats/\",\"service\":\"blue\",\"maxAttempts\":3,"
    "\"stretch\":1.6,\"targetLatencyMs\":600},"
    "{\"name\":\"crates\",\"host\":\"jobs.example\","
    "\"pathPrefix\":\"/crates/\",\"service\":\"green\",\"priority\":1,"
    "\"maxAttempts\":2,\"stretch\":2,\"targetLatencyMs\":600}],"
    "\"services\":[{\"name\":\"blue\",\"admissionControl\":true},"
    "{\"name\":\"green\",\"admissionControl\":true}]}";

int64_t
driver_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
driver_sleep_ms(int ms)
{
	struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};

	while (nanosleep(&t, &t) == -1 && errno == EINTR)
		;
}

void
driver_note(struct fleet *f, const char *fmt, ...)
{
	va_list ap;

	fprintf(f->record, "%8.3f s  ",
	    (double)(driver_now_ms() - began_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(f->record, fmt, ap);
	va_end(ap);
	fputc('\n', f->record);
	fflush(f->record);
}

static void
end_process(pid_t pid, int sig)
{
	if (pid <= 0)
		return;
	kill(pid, SIGCONT);
	kill(pid, sig);
	waitpid(pid, NULL, 0);
}

static void
remove_files(const struct fleet *f)
{
	char path[FILE_BYTES + 256];
	struct dirent *e;
	DIR *d = opendir(f->dir);

	while (d != NULL && (e = readdir(d)) != NULL) {
		snprintf(path, sizeof(path), "%s/%s", f->dir, e->d_name);
		unlink(path); /* fails for the folder itself */
	}
	if (d != NULL)
		closedir(d);
	rmdir(f->dir);
}

void
driver_end(struct fleet *f, int code)
{
	int i;

	for (i = 0; i < f->daemon_count; i++) {
		end_process(f->daemons[i].pid, SIGKILL);
		end_process(f->daemons[i].proxy, SIGKILL);
	}
	end_process(f->machines_proxy, SIGKILL);
	end_process(f->platform, SIGKILL);
	if (getenv("KEEP") == NULL)
		remove_files(f);
	else
		driver_note(f, "outputs are kept in %s", f->dir);
	driver_note(f, "exit code %d", code);
	fclose(f->record);
	exit(code);
}

static int
free_port(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd == -1 || bind(fd, (struct sockaddr *)&a, sizeof(a)) == -1 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) == -1)
		exit(COULD_NOT_RUN);
	close(fd);
	return ntohs(a.sin_port);
}

static pid_t
spawn(const char *const *argv, const char *settings, const char *out)
{
	pid_t pid = fork();
	int fd;

	if (pid != 0)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL); /* it ends with the driver */
	fd = open(out, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (fd == -1 || dup2(fd, 1) == -1 || dup2(fd, 2) == -1)
		_exit(127);
	if (settings != NULL)
		setenv("MIMOSALEAD_SETTINGS", settings, 1);
	execv(argv[0], (char *const *)argv);
	_exit(127);
}

int
driver_connect(int port)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd != -1 && connect(fd, (struct sockaddr *)&a, sizeof(a)) == -1) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Reads until the peer closes, or until the body is whole. */
static void
read_answer(int fd, int64_t until_ms, struct answer_text *a)
{
	char text[ANSWER_BYTES];
	const char *body = NULL, *length;
	struct pollfd p = {.fd = fd, .events = POLLIN};
	size_t n = 0;
	ssize_t got;

	for (;;) {
		text[n] = '\0';
		body = strstr(text, "\r\n\r\n");
		length = strcasestr(text, "content-length:");
		if (body != NULL && length != NULL && length < body &&
		    text + n - (body + 4) >= strtol(length + 15, NULL, 10))
			break;
		if (driver_now_ms() >= until_ms || n + 1 == sizeof(text))
			return;
		if (poll(&p, 1, (int)(until_ms - driver_now_ms())) <= 0)
			return;
		got = recv(fd, text + n, sizeof(text) - n - 1, 0);
		if (got <= 0 && body == NULL)
			return;
		if (got <= 0)
			break;
		n += (size_t)got;
	}
	if (sscanf(text, "HTTP/1.%*d %d", &a->status) != 1)
		a->status = 0;
	snprintf(a->body, sizeof(a->body), "%s", body + 4);
}

void
driver_call_on(int fd, const char *method, const char *path, const char *body,
    int timeout_ms, struct answer_text *a)
{
	int64_t until_ms = driver_now_ms() + timeout_ms;
	char text[ANSWER_BYTES];
	int n;

	memset(a, 0, sizeof(*a));
	n = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: jobs.example\r\n"
	    "Content-Type: application/json\r\n"
	    "Mimosalead-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, timeout_ms, body != NULL ? strlen(body) : 0,
	    body != NULL ? body : "");
	if (send(fd, text, (size_t)n, MSG_NOSIGNAL) == n)
		read_answer(fd, until_ms, a);
}

void
driver_call(int port, const char *method, const char *path, const char *body,
    int timeout_ms, struct answer_text *a)
{
	int fd = driver_connect(port);

	memset(a, 0, sizeof(*a));
	if (fd == -1)
		return;
	driver_call_on(fd, method, path, body, timeout_ms, a);
	close(fd);
}

int64_t
driver_judge(struct fleet *f, const char *key)
{
	struct answer_text a;
	char name[64];
	const char *at;

	driver_call(f->platform_port, "GET", "/judge", NULL, 2000, &a);
	snprintf(name, sizeof(name), "\"%s\"", key);
	at = strstr(a.body, name);
	at = at != NULL ? strchr(at, ':') : NULL;
	return at != NULL ? strtoll(at + 1, NULL, 10) : -1;
}

int
driver_owner(struct fleet *f, int partition)
{
	struct answer_text a;
	char row[64];
	int i;

	driver_call(f->platform_port, "GET", "/log-owners?group=schedulers",
	    NULL, 2000, &a);
	for (i = 0; i < f->daemon_count; i++) {
		snprintf(row, sizeof(row), "\"pools\",%d,\"127.0.0.1:%d\"",
		    partition, f->daemons[i].peer);
		if (strstr(a.body, row) != NULL)
			return i;
	}
	return -1;
}

void
driver_kill(struct fleet *f, int daemon, int sig)
{
	struct daemon_process *d = &f->daemons[daemon];

	kill(d->pid, sig);
	if (sig == SIGKILL) {
		waitpid(d->pid, NULL, 0);
		d->pid = 0;
	}
}

static void
write_settings(struct fleet *f, struct daemon_process *d, int number)
{
	FILE *out = fopen(d->settings, "we");

	if (out == NULL)
		driver_end(f, COULD_NOT_RUN);
	fprintf(out,
	    "{\"node\":\"edge-%d\",\"zone\":\"puebla\",\"ip\":\"127.0.0.1\","
	    "\"listen\":{\"front\":\"127.0.0.1:%d\","
	    "\"ready\":\"127.0.0.1:%d\"},\"portRange\":[%d,%d],"
	    "\"heartbeatMs\":1000,\"bounds\":{\"contactMs\":3000,"
	    "\"holdMaxMs\":6000,\"stopTimeoutMs\":200,\"gangTimeoutMs\":3000,"
	    "\"status_s\":120,\"maintenanceS\":2,\"migrateS\":1.5,"
	    "\"leaseMs\":3000,\"restoreMs\":600},"
	    "\"limits\":{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,"
	    "\"maxFds\":4100,\"linkMbps\":1000.0},"
	    "\"advice\":\"127.0.0.1:%d\",\"platform\":{"
	    "\"addr\":\"127.0.0.1:%d\",\"parts\":8,\"ttlMinMs\":1000,"
	    "\"recordBytes\":8192,\"requestBytes\":16384},"
	    "\"cloudApi\":{\"addr\":\"127.0.0.1:%d\",\"dutyPerS\":64}}\n",
	    number, d->front, d->ready, d->peer, d->peer, f->platform_port,
	    d->store, f->machines_port);
	fclose(out);
}

static void
start_platform(struct fleet *f, const char *const *args)
{
	const char *argv[32] = {"target/review/workers"};
	char listen[64], out[256];
	struct answer_text a;
	int n = 1, i;

	f->platform_port = free_port();
	snprintf(listen, sizeof(listen), "127.0.0.1:%d", f->platform_port);
	snprintf(f->platform_log, sizeof(f->platform_log), "%s/seen", f->dir);
	snprintf(out, sizeof(out), "%s/platform.out", f->dir);
	argv[n++] = "-l";
	argv[n++] = listen;
	argv[n++] = "-L";
	argv[n++] = f->platform_log;
	for (i = 0; args != NULL && args[i] != NULL && n < 31; i++)
		argv[n++] = args[i];
	f->platform = spawn(argv, NULL, out);
	for (i = 0; i < 100; i++) {
		driver_call(f->platform_port, "POST",
		    "/put?topic=keyed.op&key=config", config_text, 1000, &a);
		if (a.status == 200)
			return;
		driver_sleep_ms(50);
	}
	driver_note(f, "the platform's stand-in does not start");
	driver_end(f, COULD_NOT_RUN);
}

static void
name_file(struct fleet *f, char *out, int number, const char *kind)
{
	char name[FILE_BYTES];

	snprintf(name, sizeof(name), "%s/edge-%d.%s", f->dir, number, kind);
	memcpy(out, name, FILE_BYTES);
}

static bool
all_ready(struct fleet *f)
{
	struct answer_text a;
	int i;

	for (i = 0; i < f->daemon_count; i++) {
		driver_call(
		    f->daemons[i].ready, "GET", "/readiness", NULL, 500, &a);
		if (a.status != 200)
			return false;
	}
	return driver_owner(f, 0) >= 0 && driver_owner(f, 1) >= 0;
}

void
driver_start(struct fleet *f, int daemons, enum driver_proxies proxies,
    const char *const *args)
{
	const char *argv[] = {"target/mimosalead", "schedule", NULL};
	const char *trouble = getenv("TROUBLE"), *record = getenv("RECORD");
	struct daemon_process *d;
	int64_t until_ms;
	int number;

	began_ms = driver_now_ms();
	memset(f, 0, sizeof(*f));
	f->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	f->record = fopen(record != NULL ? record : "record.txt", "we");
	snprintf(f->dir, sizeof(f->dir), "/tmp/review-XXXXXX");
	if (f->record == NULL || mkdtemp(f->dir) == NULL)
		exit(COULD_NOT_RUN);
	signal(SIGPIPE, SIG_IGN);
	driver_note(f, "TROUBLE=%d, outputs in a temporary folder", f->trouble);
	start_platform(f, args);
	f->machines_port = f->platform_port;
	if (proxies == PROXY_MACHINES)
		f->machines_proxy =
		    driver_proxy(f->platform_port, &f->machines_port, true);
	for (number = 1; number <= daemons; number++) {
		d = &f->daemons[f->daemon_count++];
		d->front = free_port();
		d->ready = free_port();
		d->peer = free_port();
		d->store = f->platform_port;
		if (proxies == PROXY_STORE)
			d->proxy =
			    driver_proxy(f->platform_port, &d->store, false);
		name_file(f, d->settings, number, "json");
		name_file(f, d->out, number, "out");
		write_settings(f, d, number);
		d->pid = spawn(argv, d->settings, d->out);
	}
	until_ms = driver_now_ms() + START_MS;
	while (!all_ready(f)) {
		if (driver_now_ms() > until_ms) {
			driver_note(f, "the daemons are not ready");
			driver_end(f, COULD_NOT_RUN);
		}
		driver_sleep_ms(100);
	}
	driver_note(f, "%d daemons are ready", daemons);
}
