/*
 * Client of the scripts of the second review: one HTTP request, whose status
 * and body it prints and adds to the record.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static int64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* call RECORD METHOD PORT PATH [BODY]; RECORD "-": not recorded */
int
main(int argc, char **argv)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct timeval limit = {.tv_sec = 3};
	static char answer[65536], text[65536];
	const char *body = argc > 5 ? argv[5] : "", *content = "";
	int s = socket(AF_INET, SOCK_STREAM, 0), n, status = 0;
	size_t have = 0;
	ssize_t got;
	FILE *f;

	if (argc < 5)
		return 2;
	to.sin_port = htons((uint16_t)strtol(argv[3], NULL, 10));
	inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
	setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	n = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    argv[2], argv[4], strlen(body), body);
	if (connect(s, (struct sockaddr *)&to, sizeof(to)) == 0 &&
	    write(s, text, (size_t)n) == n) {
		while (have < sizeof(answer) - 1 &&
		    (got = read(s, answer + have, sizeof(answer) - 1 - have)) >
			0)
			have += (size_t)got;
	}
	close(s);
	if (have > 12)
		status = (int)strtol(answer + 9, NULL, 10);
	if (strstr(answer, "\r\n\r\n") != NULL)
		content = strstr(answer, "\r\n\r\n") + 4;
	printf("%d %s\n", status, content);
	if (strcmp(argv[1], "-") == 0 || (f = fopen(argv[1], "a")) == NULL)
		return 0;
	fprintf(f, "%" PRId64 " client sends %s %s %s: gets %d %s\n", now_ms(),
	    argv[2], argv[4], body, status, content);
	fclose(f);
	return 0;
}
