#include "upkeep.h"

#include <stdlib.h>

struct upkeep {
	struct scheduler *scheduler;
};

struct upkeep *
upkeep_new(struct scheduler *s)
{
	struct upkeep *u;

	u = calloc(1, sizeof(*u));
	if (u != NULL)
		u->scheduler = s;
	return u;
}

void
upkeep_free(struct upkeep *u)
{
	free(u);
}

void
upkeep_take_wave(struct upkeep *u, const struct store_record *r)
{
	struct wave_order w;

	(void)u;
	if (wave_parse(&w, r->value, r->len) == -1)
		return;
	daemon_log(LOG_LEVEL_INFO, "upkeep",
	    "msg=\"wave asked for\" wave=%lld machines=%zu within_ms=%d "
	    "cap=%d",
	    (long long)w.wave, w.machine_count, w.within_ms, w.cap);
	wave_uninit(&w);
}
