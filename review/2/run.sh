#!/usr/bin/env bash
# Exit code: 1 if RECLAIM was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the occurrences do not overlap.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rosemarylink-edge ] || [ ! -x target/review/OverlappingOccurrences ]; then
    echo "cannot run: target/ is not built" | tee review/2/record.txt
    exit 2
fi
exec target/review/OverlappingOccurrences review/2
