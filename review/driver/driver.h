/*
 * What the review's scripts share: processes, HTTP calls, settings, and the
 * log of the stand-in, which says what workers saw.
 */
#ifndef REVIEW_DRIVER_H
#define REVIEW_DRIVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define DAEMONS_MAX 8
#define ANSWER_BYTES 65536
#define FILE_BYTES 128 /* path of a file in the temporary folder */

/* Exit codes of a script. */
#define RULE_HELD 0
#define RULE_BROKEN 1
#define COULD_NOT_RUN 2

struct daemon_process {
	pid_t pid;
	int front, ready, peer;
	int store; /* port of its proxy to the store, or of the store */
	pid_t proxy; /* 0: none */
	char settings[FILE_BYTES]; /* path of its settings file */
	char out[FILE_BYTES]; /* path of its output */
};

struct answer_text {
	int status; /* 0: no answer */
	char body[ANSWER_BYTES];
};

struct fleet {
	char dir[64]; /* temporary folder */
	bool trouble; /* TROUBLE=0 leaves the disruption out */
	int platform_port;
	pid_t platform;
	int machines_port; /* of the machines' service, or of its proxy */
	pid_t machines_proxy; /* 0: none */
	char platform_log[256];
	struct daemon_process daemons[DAEMONS_MAX];
	int daemon_count;
	FILE *record;
};

int64_t driver_now_ms(void);
void driver_sleep_ms(int ms);
/* A line of record.txt, with the time since the start. */
void driver_note(struct fleet *f, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Ends all processes and the script; with KEEP=1 their outputs stay. */
void driver_end(struct fleet *f, int code) __attribute__((noreturn));

enum driver_proxies {
	PROXY_NONE,
	PROXY_STORE, /* each daemon reaches the store through one of its own */
	PROXY_MACHINES /* all call the machines' service through one */
};

/* Starts the platform's stand-in, "daemons" daemons, and waits for them. */
void driver_start(struct fleet *f, int daemons, enum driver_proxies proxies,
    const char *const *args);
/* A call to a port of 127.0.0.1; "body" may be NULL. */
void driver_call(int port, const char *method, const char *path,
    const char *body, int timeout_ms, struct answer_text *a);
/* A connection to a port of 127.0.0.1; -1: none. */
int driver_connect(int port);
/* A call on a connection, which stays open. */
void driver_call_on(int fd, const char *method, const char *path,
    const char *body, int timeout_ms, struct answer_text *a);
/* Starts a proxy to a port of 127.0.0.1, see proxy.c. */
pid_t driver_proxy(int to, int *port, bool drops_answers_only);
/* A number under a key of the stand-in's /judge. */
int64_t driver_judge(struct fleet *f, const char *key);
/* Index of the daemon that the group names as the owner of a pool; -1. */
int driver_owner(struct fleet *f, int partition);
void driver_kill(struct fleet *f, int daemon, int signal);

#endif
