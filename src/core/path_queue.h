/*
 * Bounded queues of one service: one for each class and member, served by
 * deficit round robin with the members' weights, so that a burst of one member
 * does not starve the others. A member's queue exists only while requests wait
 * in it.
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
	/* Deficit counter of the round robin, in units of weight. */
	int64_t deficit;
	size_t count;
	struct path_request_list requests;
	TAILQ_ENTRY(member_queue) link;
};
TAILQ_HEAD(member_queue_list, member_queue);

struct class_queue {
	struct member_queue_list members; /* in round-robin order */
	size_t member_count;
	/* Deficit that one request costs: the largest weight. */
	int64_t request_cost;
	size_t count;
};

void queue_init(struct class_queue *q);
/* Frees the members' queues. All requests must have been removed before. */
void queue_uninit(struct class_queue *q);
/*
 * queue_push() appends; -1 where the member has "limit" requests waiting.
 * queue_push_front() has no limit. Both return -1 where memory is short.
 */
int queue_push(
    struct class_queue *q, struct path_request *r, int weight, size_t limit);
int queue_push_front(struct class_queue *q, struct path_request *r);
/*
 * Next request in round-robin order, which stays in the queue; NULL where the
 * queue is empty.
 */
struct path_request *queue_peek(struct class_queue *q, int max_weight);
/* Removes the request that queue_peek() returned and charges its member. */
void queue_pop(struct class_queue *q, struct path_request *r);
/*
 * Removes any request without charging its member, e.g. when its caller has
 * gone.
 */
void queue_remove(struct class_queue *q, struct path_request *r);
size_t queue_member_length(const struct class_queue *q, const char *member);
/*
 * Sum of the weights of "member" and of all other members that have requests
 * waiting.
 */
int64_t queue_total_weight(
    const struct class_queue *q, const char *member, int weight);

#endif
