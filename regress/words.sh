#!/bin/sh
# The platform's names stand in platform/ alone: elsewhere they would spread,
# and a change of its interface would be a change of the product.
cd "$(dirname "$0")/.." || exit 1
words='X-Request-Id|X-Deadline-Ms|X-Response-Signature|X-Expected-Instance'
words="$words|X-Server-Load|X-Not-Executed|X-Instance-Id|X-Shard-Key"
words="$words|X-Handover|Server-Limit|hold_time|path_prefix|traffic_split|target_latency"
words="$words|max_attempts|cold_left|current_rev|has_more|serializable"
words="$words|health_path|idle_timeout|header_timeout|budget_slack"
words="$words|budget_window|config_apply|readyz|healthz|max_hold|draining\""
words="$words|wait_ms=|\"sharded|\"spec|\"metadata|/objects/%s\\?"
if grep -nE "$words" decide/*.[ch] gspard/*.[ch58] lib/*.[ch] gsparctl/*.[ch8] \
    proto/*.proto; then
	echo "The platform's words, outside platform/."
	exit 1
fi
