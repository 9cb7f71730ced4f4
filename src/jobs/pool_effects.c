#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool_state.h"

static void
effect_uninit(struct pool_effect *x)
{
	switch (x->kind) {
	case POOL_START:
		job_spec_unref(x->u.start.spec);
		buf_unref(x->u.start.checkpoint);
		buf_unref(x->u.start.ticket);
		break;
	case POOL_WRITE:
		buf_unref(x->u.write.value);
		break;
	case POOL_QUERY_POLICY:
		free(x->u.policy_query.workers);
		break;
	case POOL_STOP:
	case POOL_RENEW:
	case POOL_THROTTLE:
	case POOL_ANSWER:
	case POOL_CHECK_LIVENESS:
	case POOL_LOG:
		break;
	}
}

void
pool_effects_clear(struct pool_effects *fx)
{
	size_t i;

	for (i = 0; i < fx->count; i++)
		effect_uninit(&fx->list[i]);
	fx->count = 0;
}

void
pool_effects_uninit(struct pool_effects *fx)
{
	pool_effects_clear(fx);
	free(fx->list);
	memset(fx, 0, sizeof(*fx));
}

struct pool_effect *
fx_add(struct pool *p, enum pool_effect_kind kind)
{
	struct pool_effects *fx = p->fx;
	struct pool_effect *x;

	if (fx->count == fx->capacity) {
		fx->capacity = fx->capacity > 0 ? fx->capacity * 2 : 16;
		fx->list = realloc(fx->list, fx->capacity * sizeof(*fx->list));
		if (fx->list == NULL)
			abort(); /* a command or write must not be lost */
	}
	x = &fx->list[fx->count++];
	memset(x, 0, sizeof(*x));
	x->kind = kind;
	return x;
}

void
fx_log(struct pool *p, enum log_level level, const char *fmt, ...)
{
	struct pool_effect *x = fx_add(p, POOL_LOG);
	va_list ap;

	x->u.log.level = level;
	va_start(ap, fmt);
	vsnprintf(x->u.log.line, sizeof(x->u.log.line), fmt, ap);
	va_end(ap);
}

void
fx_answer(struct pool *p, uint64_t token, enum pool_answer answer)
{
	struct pool_effect *x = fx_add(p, POOL_ANSWER);

	x->u.answer.token = token;
	x->u.answer.answer = answer;
}

void
fx_write(struct pool *p, const char *key, struct buf *value)
{
	struct pool_effect *x = fx_add(p, POOL_WRITE);

	snprintf(x->u.write.key, sizeof(x->u.write.key), "%s", key);
	x->u.write.value = value;
	x->u.write.serial = ++p->write_serial;
}

void
fx_target(struct worker_target *to, const struct pool_worker *w)
{
	snprintf(to->id, sizeof(to->id), "%s", w->report.id);
	snprintf(to->addr, sizeof(to->addr), "%s", w->report.addr);
	to->port = w->report.port;
	to->fence = w->fence;
}

static struct pool_effect *
fx_command(struct pool *p, enum pool_effect_kind kind,
    const struct pool_worker *w, const struct task_name *task, int64_t run)
{
	struct pool_effect *x = fx_add(p, kind);

	fx_target(&x->u.command.worker, w);
	x->u.command.task = *task;
	x->u.command.run = run;
	return x;
}

void
fx_stop(struct pool *p, const struct pool_worker *w,
    const struct task_name *task, int64_t run)
{
	fx_command(p, POOL_STOP, w, task, run);
}

void
fx_throttle(struct pool *p, const struct task *t, int percent)
{
	struct task_name n;

	task_get_name(t, &n);
	fx_command(p, POOL_THROTTLE, t->worker, &n, t->run)->u.command.percent =
	    percent;
}
