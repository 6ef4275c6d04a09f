#!/usr/bin/env bash
# Exit code: 1 if RECLAIM was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the occurrences do not overlap.
cd "$(dirname "$0")/../.." && exec target/review/OverlappingOccurrences review/2
