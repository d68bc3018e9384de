#!/bin/sh
# LOST: a host stops while clients have sent requests ahead.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/case-5 ] || exit 2
exec build/review-2/case-5
