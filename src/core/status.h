/*
 * Summary of a daemon's state for "mimosalead status": services with their
 * availability budgets, pools, leaving VMs, the configuration versions of this
 * daemon and its peers, verdicts, and unknown records.
 */
#ifndef STATUS_H
#define STATUS_H

#include <json-c/json.h>

#include "view.h"

struct json_object *status_json(const struct view *v);

#endif
