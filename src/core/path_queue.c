#include "path_queue.h"

#include <stdlib.h>
#include <string.h>

void
queue_init(struct class_queue *q)
{
	memset(q, 0, sizeof(*q));
	TAILQ_INIT(&q->members);
}

void
queue_uninit(struct class_queue *q)
{
	struct member_queue *m;

	while ((m = TAILQ_FIRST(&q->members)) != NULL) {
		TAILQ_REMOVE(&q->members, m, link);
		free(m);
	}
}

static struct member_queue *
queue_member_find(const struct class_queue *q, const char *member)
{
	struct member_queue *m;

	TAILQ_FOREACH(m, &q->members, link) {
		if (strcmp(m->member, member) == 0)
			return m;
	}
	return NULL;
}

static struct member_queue *
queue_member_get(struct class_queue *q, const char *member, int weight)
{
	struct member_queue *m = queue_member_find(q, member);

	if (m != NULL)
		return m;
	m = calloc(1, sizeof(*m));
	if (m == NULL)
		return NULL;
	memcpy(m->member, member, strlen(member) + 1);
	m->weight = weight;
	TAILQ_INIT(&m->requests);
	TAILQ_INSERT_TAIL(&q->members, m, link);
	q->member_count++;
	return m;
}

static void
queue_member_remove(struct class_queue *q, struct member_queue *m)
{
	TAILQ_REMOVE(&q->members, m, link);
	q->member_count--;
	free(m);
}

int
queue_push(
    struct class_queue *q, struct path_request *r, int weight, size_t limit)
{
	struct member_queue *m = queue_member_get(q, r->member, weight);

	if (m == NULL)
		return -1;
	m->weight = weight;
	if (m->count >= limit) {
		if (m->count == 0)
			queue_member_remove(q, m);
		return -1;
	}
	TAILQ_INSERT_TAIL(&m->requests, r, link);
	m->count++;
	q->count++;
	r->queued = true;
	return 0;
}

int
queue_push_front(struct class_queue *q, struct path_request *r)
{
	struct member_queue *m = queue_member_get(q, r->member, 1);

	if (m == NULL)
		return -1;
	TAILQ_INSERT_HEAD(&m->requests, r, link);
	m->count++;
	q->count++;
	r->queued = true;
	return 0;
}

struct path_request *
queue_peek(struct class_queue *q, int max_weight)
{
	struct member_queue *m;

	if (q->count == 0)
		return NULL;
	/* The member with the largest weight gets one request in each round. */
	q->request_cost = max_weight < 1 ? 1 : max_weight;
	for (;;) {
		m = TAILQ_FIRST(&q->members);
		if (m->deficit >= q->request_cost || q->member_count == 1)
			return TAILQ_FIRST(&m->requests);
		m->deficit += m->weight;
		if (m->deficit >= q->request_cost)
			return TAILQ_FIRST(&m->requests);
		TAILQ_REMOVE(&q->members, m, link);
		TAILQ_INSERT_TAIL(&q->members, m, link);
	}
}

void
queue_pop(struct class_queue *q, struct path_request *r)
{
	struct member_queue *m = queue_member_find(q, r->member);

	m->deficit -= q->request_cost;
	if (m->deficit < 0)
		m->deficit = 0;
	if (m->deficit < q->request_cost) {
		TAILQ_REMOVE(&q->members, m, link);
		TAILQ_INSERT_TAIL(&q->members, m, link);
	}
	queue_remove(q, r);
}

void
queue_remove(struct class_queue *q, struct path_request *r)
{
	struct member_queue *m = queue_member_find(q, r->member);

	TAILQ_REMOVE(&m->requests, r, link);
	r->queued = false;
	m->count--;
	q->count--;
	if (m->count == 0)
		queue_member_remove(q, m);
}

size_t
queue_member_length(const struct class_queue *q, const char *member)
{
	const struct member_queue *m = queue_member_find(q, member);

	return m == NULL ? 0 : m->count;
}

int64_t
queue_total_weight(const struct class_queue *q, const char *member, int weight)
{
	const struct member_queue *m;
	int64_t total = weight;

	TAILQ_FOREACH(m, &q->members, link) {
		if (strcmp(m->member, member) != 0)
			total += m->weight;
	}
	return total;
}
