#!/usr/bin/env bash
# Exit code: 1 if TWICE was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the cut out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rosemarylink-edge ] || [ ! -x target/review/CutOffWorkers ]; then
    echo "cannot run: target/ is not built" | tee review/1/record.txt
    exit 2
fi
exec target/review/CutOffWorkers review/1
