#!/bin/sh
# Builds the stand-ins that the cases start, into build/review and build/plain.
# Needs what the deploy file's build needs.
cd "$(dirname "$0")/.." || exit 1
for d in proto lib standin; do
	make -s -C "$d" BUILD=plain || exit 1
done
mkdir -p build/review || exit 1
for p in cut release smuggle; do
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview/stand \
	    -o "build/review/$p" "review/stand/$p.c" review/stand/stage.c \
	    -lpthread -lm || exit 1
done
