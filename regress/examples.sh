#!/bin/sh
# Checks that each settings file and each catalogue entry in etc/, which new
# users start from, is valid for this version.
cd "$(dirname "$0")/.." || exit 1
res=0
for f in etc/*/*.conf; do
	build/plain/gspard/gspard -n -f "$f" || res=1
done
for f in etc/*/*.json; do
	build/plain/gsparctl/gsparctl catalogue check "$f" || res=1
done
# The check itself must reject an invalid entry.
sed 's/"shards"/"shard"/' etc/kragelund/lookup.json >"${TMPDIR:-/tmp}/bad.$$"
if build/plain/gsparctl/gsparctl catalogue check "${TMPDIR:-/tmp}/bad.$$" \
    >/dev/null 2>&1; then
	echo "an invalid entry passed the check"
	res=1
fi
rm -f "${TMPDIR:-/tmp}/bad.$$"
exit $res
