#!/bin/sh
# Checks that the codes in lib/result.h and the table in docs/ERRORS.md agree.
cd "$(dirname "$0")/.." || exit 1
code=$(tr '\n' ' ' <lib/result.h |
    grep -o 'X(GS_[A-Z_]*, [0-9]*, [0-9]*, OUT_[A-Z_]*' |
    sed 's/X(\(GS_[A-Z_]*\), \([0-9]*\), \([0-9]*\), OUT_\(.*\)/\2 \1 \3 \4/' |
    tr 'A-Z' 'a-z' | sort -n)
docs=$(grep '^| [0-9]' docs/ERRORS.md |
    sed 's/^| *\([0-9]*\) *| *`\([A-Z_]*\)` *| *\([0-9]*\) *| *\([a-z_]*\) *|.*/\1 \2 \3 \4/' |
    tr 'A-Z' 'a-z' | sort -n)
[ -n "$code" ] && [ "$code" = "$docs" ] && exit 0
echo "lib/result.h:"; echo "$code"
echo "docs/ERRORS.md:"; echo "$docs"
exit 1
