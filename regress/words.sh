#!/bin/sh
# Checks that the platform's names (headers, settings, paths) occur in platform/
# only, so that a change of its interface needs changes in that directory alone.
cd "$(dirname "$0")/.." || exit 1
names='X-Request-Id|X-Deadline-Ms|X-Response-Signature|X-Expected-Instance'
names="$names|X-Server-Load|X-Not-Executed|X-Instance-Id|X-Shard-Key"
names="$names|X-Handover|Server-Limit|Server-Leaving|Store-Era|hold_time|path_prefix|traffic_split|target_latency"
names="$names|max_attempts|cold_left|current_rev|has_more|serializable"
names="$names|health_path|idle_timeout|header_timeout|budget_slack"
names="$names|budget_window|config_apply|readyz|healthz|max_hold|draining\""
names="$names|wait_ms=|\"sharded|\"spec|\"metadata|/objects/%s\\?"
if grep -nE "$names" decide/*.[ch] gspard/*.[ch58] lib/*.[ch] gsparctl/*.[ch8] \
    proto/*.proto; then
	echo "The names above belong to the platform and may occur in platform/ only."
	exit 1
fi
