/*
 * A loopback proxy with many links in one thread.  Each link is a listener and
 * the port behind it; its fault is changed while it runs.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#define SOAK_LINKS_MAX 160

enum link_fault {
	LINK_SOUND,
	LINK_DELAY, /* both ways */
	LINK_RESET, /* all connections, again and again */
	LINK_CUT_THERE, /* what callers send arrives when the fault ends */
	LINK_CUT_BACK, /* what the other side answers does */
	LINK_SILENT, /* both */
	LINK_DRIP, /* a few bytes at a time */
	LINK_DROP, /* requests arrive, answers are lost with the connection */
	LINK_REJECT, /* each request is answered with 429, and goes nowhere */
	LINK_FAULTS
};

struct soak_proxy;

struct soak_proxy *soak_proxy_new(void);
void soak_proxy_free(struct soak_proxy *p);
/* Before soak_proxy_run(): a link to a port; the port that it listens on. */
int soak_proxy_link(struct soak_proxy *p, int target_port);
void soak_proxy_run(struct soak_proxy *p);
/* Links are numbered in the order in which they were made. */
void soak_proxy_fault(
    struct soak_proxy *p, int link, enum link_fault fault, int delay_ms);

#endif
