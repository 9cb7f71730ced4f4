/*
 * Messages between daemons about the operators' configuration, as msgpack: a
 * request with the version that the asking daemon has, answered by the age of
 * the other's confirmation, its newer record, and the pools' owners as it last
 * read them.
 */
#ifndef CONFIG_CALL_H
#define CONFIG_CALL_H

#include "buf.h"
#include "errors.h"
#include "store_wire.h"

#define PEER_PATH_CONFIG "/config"
/* Of the group's topic, with the controller's. */
#define GROUP_PARTITIONS_MAX 64
/* A record of 370 accounts with two routes has 47 KB. */
#define CONFIG_ANSWER_MAX_BYTES (1024 * 1024)
/* Older facts are worth nothing; bounds the arithmetic on a peer's ages. */
#define CONFIG_AGE_MAX_MS (24 * 3600 * 1000)

/* The group's members that own its partitions. */
struct group_owners {
	int64_t generation; /* of the group; 0: unknown */
	int64_t age_ms; /* since their read was sent; -1: not known */
	size_t count;
	/* By partition; "": unknown. */
	char members[GROUP_PARTITIONS_MAX][MEMBER_BYTES];
};

struct config_answer {
	/*
	 * Since the last complete read of the operators' topic was sent, by the
	 * answering daemon or the one it has it from; -1: there was none.
	 */
	int64_t age_ms;
	struct buf *value; /* the newer record; NULL: none */
	struct group_owners owners;
};

/* Encoders return NULL when memory is short.  "have" -1: no configuration. */
struct buf *config_request_encode(int64_t have);
/* -1 where the bytes are malformed. */
int config_request_decode(
    int64_t *have, const void *data, size_t len, struct err *e);
struct buf *config_answer_encode(const struct config_answer *a);
/*
 * -1 where the bytes are malformed or memory is short; there is nothing to free
 * then.  Ages beyond CONFIG_AGE_MAX_MS are given as -1.
 */
int config_answer_decode(
    struct config_answer *a, const void *data, size_t len, struct err *e);
void config_answer_uninit(struct config_answer *a);

#endif
