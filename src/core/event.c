#include "event.h"

const char *
event_kind_name(enum event_kind kind)
{
	static const char *const names[] = {
	    [EVENT_TICK] = "tick",
	    [EVENT_REQUEST] = "request",
	    [EVENT_CALLER_GONE] = "caller-gone",
	    [EVENT_ATTEMPT_SENT] = "sent",
	    [EVENT_ATTEMPT_ANSWERED] = "answered",
	    [EVENT_ATTEMPT_FAILED] = "failed",
	    [EVENT_PEER_UP] = "peer-up",
	    [EVENT_PEER_DOWN] = "peer-down",
	    [EVENT_PEER_FRAME] = "frame",
	    [EVENT_LOG_BATCH] = "log",
	    [EVENT_LOG_GAP] = "log-gap",
	    [EVENT_LOG_ERROR] = "log-error",
	    [EVENT_APPEND_RESULT] = "append-result",
	    [EVENT_VM_LIST] = "vm-list",
	    [EVENT_PLATFORM_RESULT] = "platform-result",
	    [EVENT_USAGE] = "usage",
	    [EVENT_STOP] = "stop",
	};

	return names[kind];
}
