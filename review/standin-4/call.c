/*
 * Client for the scripts of the cases 16 to 20.
 *   call ports N                       prints N free ports of 127.0.0.1
 *   call METHOD PORT PATH HOST [BODY]  sends one request to 127.0.0.1 and
 * prints the status and the body; 000: no answer
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define PORTS_MAX 32
#define TIMEOUT_S 4

static int
print_ports(int count)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	int fd[PORTS_MAX], i;

	for (i = 0; i < count && i < PORTS_MAX; i++) {
		memset(&sa, 0, sizeof(sa));
		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fd[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (bind(fd[i], (struct sockaddr *)&sa, sizeof(sa)) == -1 ||
		    getsockname(fd[i], (struct sockaddr *)&sa, &len) == -1)
			return 2;
		printf("%d ", ntohs(sa.sin_port));
	}
	printf("\n");
	return 0;
}

static int
connect_to(int port)
{
	struct sockaddr_in sa = {
	    .sin_family = AF_INET, .sin_port = htons((unsigned short)port)};
	struct timeval limit = {TIMEOUT_S, 0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1) {
		close(fd);
		return -1;
	}
	return fd;
}

static int
request(char **argv, const char *body)
{
	static char text[65536], in[65536];
	char *end, *length;
	size_t n = 0;
	ssize_t got;
	int fd = connect_to(atoi(argv[1])), len;

	len = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "Mimosalead-Deadline-Ms: 3000\r\nContent-Length: %zu\r\n\r\n%s",
	    argv[0], argv[2], argv[3], strlen(body), body);
	if (fd == -1 || len >= (int)sizeof(text) ||
	    write(fd, text, (size_t)len) != len) {
		printf("000 \n");
		return 0;
	}
	while (n + 1 < sizeof(in)) {
		got = read(fd, in + n, sizeof(in) - 1 - n);
		if (got <= 0)
			break;
		n += (size_t)got;
		in[n] = '\0';
		end = strstr(in, "\r\n\r\n");
		length = strcasestr(in, "content-length:");
		if (end != NULL &&
		    (length == NULL || length > end ||
			n >= (size_t)(end - in) + 4 +
				strtoul(length + 15, NULL, 10)))
			break;
	}
	close(fd);
	end = n > 0 ? strstr(in, "\r\n\r\n") : NULL;
	if (end == NULL)
		printf("000 \n");
	else
		printf("%.3s %s\n", in + 9, end + 4);
	return 0;
}

int
main(int argc, char **argv)
{
	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return print_ports(atoi(argv[2]));
	if (argc < 5)
		return 2;
	return request(argv + 1, argc > 5 ? argv[5] : "");
}
