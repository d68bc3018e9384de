#!/bin/sh
# fuzz.sh [SECS [READER]]: fuzzes each reader for SECS seconds, guided by
# coverage.  Inputs that fail are left in build/fuzz.  Add them to
# regress/unit/corpus under a name that begins with the reader's.
cd "$(dirname "$0")/.." || exit 1
secs=${1:-60}
mkdir -p build/fuzz
pkgs="apr-1 apr-util-1 libprotobuf-c libmicrohttpd libcurl jansson libxxhash"
clang -std=gnu11 -D_GNU_SOURCE -g -O1 -w -fsanitize=fuzzer,address,undefined \
    -Ilib -Idecide -Iproto -Iplatform -Igspard -Iregress/unit \
    $(pkg-config --cflags $pkgs) -o build/fuzz/fuzz regress/fuzz.c \
    regress/unit/readers.c gspard/permit_frame.c gspard/quarantine_text.c gspard/record.c gspard/site_frame.c gspard/tunnel_head.c platform/*.c decide/*.c \
    $(ls lib/*.c | grep -v /feature.c) proto/*.c \
    $(pkg-config --libs $pkgs) -linih -lpthread -lm || exit 1
res=0
for r in ${2:-page events object config owners record quarantine settings heads odd answers told report site permit}; do
	mkdir -p "build/fuzz/$r"
	cp regress/unit/corpus/"$r"-* "build/fuzz/$r/" 2>/dev/null
	FUZZ_READER=$r build/fuzz/fuzz -max_total_time="$secs" -max_len=4096 \
	    -timeout=5 -rss_limit_mb=1024 -artifact_prefix="build/fuzz/$r-" \
	    "build/fuzz/$r" >"build/fuzz/$r.log" 2>&1 || res=1
	echo "$r: $(grep -E 'DONE|ERROR|SUMMARY' "build/fuzz/$r.log" | tail -1)"
done
exit $res
