#!/usr/bin/env bash
# Exit code: 1 if UNASKED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the freeze out.
cd "$(dirname "$0")/../.." && exec target/review/CancelledWhileFrozen review/4
