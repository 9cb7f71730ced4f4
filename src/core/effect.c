#include "effect.h"

#include <err.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *
outcome_name(enum outcome o)
{
	switch (o) {
	case OUTCOME_ANSWERED:
		return "answered";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "none";
}

const char *
platform_op_name(enum platform_op op)
{
	switch (op) {
	case PLATFORM_DRAIN:
		return "drain";
	case PLATFORM_REBOOT:
		return "reboot";
	case PLATFORM_ASSIGN:
		return "assign";
	case PLATFORM_TASK_START:
		return "task-start";
	case PLATFORM_TASK_STOP:
		return "task-stop";
	case PLATFORM_TASK_CHECKPOINT:
		return "task-checkpoint";
	case PLATFORM_TASK_THROTTLE:
		return "task-throttle";
	}
	return "none";
}

const char *
effect_kind_name(enum effect_kind kind)
{
	switch (kind) {
	case EFFECT_ATTEMPT:
		return "attempt";
	case EFFECT_ATTEMPT_CANCEL:
		return "cancel";
	case EFFECT_ANSWER:
		return "answer";
	case EFFECT_PEER_SEND:
		return "send";
	case EFFECT_READ:
		return "read";
	case EFFECT_APPEND:
		return "append";
	case EFFECT_PLATFORM:
		return "platform";
	case EFFECT_LOG:
		return "log";
	case EFFECT_STOPPED:
		return "stopped";
	}
	return "none";
}

void
effects_init(struct effects *fx)
{
	memset(fx, 0, sizeof(*fx));
}

static void
effect_uninit(struct effect *x)
{
	switch (x->kind) {
	case EFFECT_ATTEMPT:
		request_unref(x->u.attempt.message);
		break;
	case EFFECT_ANSWER:
		answer_unref(x->u.answer.answer);
		break;
	case EFFECT_PEER_SEND:
		buf_unref(x->u.peer_send.payload);
		break;
	case EFFECT_APPEND:
		buf_unref(x->u.append.record);
		break;
	case EFFECT_ATTEMPT_CANCEL:
	case EFFECT_READ:
	case EFFECT_PLATFORM:
	case EFFECT_LOG:
	case EFFECT_STOPPED:
		break;
	}
}

void
effects_clear(struct effects *fx)
{
	size_t i;

	for (i = 0; i < fx->count; i++)
		effect_uninit(&fx->list[i]);
	fx->count = 0;
}

void
effects_uninit(struct effects *fx)
{
	effects_clear(fx);
	free(fx->list);
	memset(fx, 0, sizeof(*fx));
}

struct effect *
effects_add(struct effects *fx, enum effect_kind kind)
{
	struct effect *x;
	size_t cap;

	if (fx->count == fx->cap) {
		cap = fx->cap ? fx->cap * 2 : 32;
		x = reallocarray(fx->list, cap, sizeof(*x));
		if (x == NULL)
			err(1, "effects");
		fx->list = x;
		fx->cap = cap;
	}
	x = &fx->list[fx->count++];
	memset(x, 0, sizeof(*x));
	x->kind = kind;
	return x;
}

void
effects_send(struct effects *fx, uint64_t peer, unsigned kind, uint64_t request,
    struct buf *payload)
{
	struct effect *x;

	x = effects_add(fx, EFFECT_PEER_SEND);
	x->u.peer_send.peer = peer;
	x->u.peer_send.kind = kind;
	x->u.peer_send.request = request;
	x->u.peer_send.payload = payload;
}

void
effects_log(struct effects *fx, enum log_level level, const char *fmt, ...)
{
	struct effect *x;
	va_list ap;

	x = effects_add(fx, EFFECT_LOG);
	x->u.log.level = level;
	va_start(ap, fmt);
	vsnprintf(x->u.log.line, sizeof(x->u.log.line), fmt, ap);
	va_end(ap);
}
