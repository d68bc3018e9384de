#!/bin/sh
# The examples in etc/ are what a newcomer starts from: each settings file and
# each catalogue entry must pass the checks of this version.
cd "$(dirname "$0")/.." || exit 1
res=0
for f in etc/*/*.conf; do
	build/plain/gspard/gspard -n -f "$f" || res=1
done
for f in etc/*/*.json; do
	build/plain/gsparctl/gsparctl catalogue check "$f" || res=1
done
# A check that cannot fail would be none.
sed 's/"shards"/"shard"/' etc/kragelund/lookup.json >"${TMPDIR:-/tmp}/bad.$$"
if build/plain/gsparctl/gsparctl catalogue check "${TMPDIR:-/tmp}/bad.$$" \
    >/dev/null 2>&1; then
	echo "a bad entry passed"
	res=1
fi
rm -f "${TMPDIR:-/tmp}/bad.$$"
exit $res
