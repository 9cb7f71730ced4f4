/*
 * Bounded queues of one service: one for each class and member, served by
 * deficit round robin with the members' weights, so that no member's rush
 * starves another.  A member's queue exists only while something waits in it.
 */
#ifndef PATH_QUEUE_H
#define PATH_QUEUE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "path_request.h"

struct member_queue {
	char member[NAME_BYTES];
	int weight;
	int64_t deficit; /* saved up, in units of weight */
	size_t count;
	struct path_request_list requests;
	TAILQ_ENTRY(member_queue) link;
};
TAILQ_HEAD(member_queue_list, member_queue);

struct class_queue {
	struct member_queue_list members; /* in order of service */
	size_t member_count;
	int64_t request_cost; /* of one request: the largest weight */
	size_t count;
};

void queue_init(struct class_queue *q);
/* Frees the members' queues; requests must have been taken out before. */
void queue_uninit(struct class_queue *q);
/* Appends (or puts back first); -1 where the member has "limit" waiting. */
int queue_push(
    struct class_queue *q, struct path_request *r, int weight, size_t limit);
int queue_push_front(struct class_queue *q, struct path_request *r);
/* Next request in the order of service, still in the queue; NULL if empty. */
struct path_request *queue_peek(struct class_queue *q, int max_weight);
/* Takes out the request that queue_peek() gave, charged to its member. */
void queue_pop(struct class_queue *q, struct path_request *r);
/* Takes out any request, e.g. one whose caller has gone. */
void queue_remove(struct class_queue *q, struct path_request *r);
size_t queue_member_length(const struct class_queue *q, const char *member);
/* Sum of the weights of all members that wait, "member" among them. */
int64_t queue_total_weight(
    const struct class_queue *q, const char *member, int weight);

#endif
