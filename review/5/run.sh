#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." && exec target/review/reviewkit part-forgotten target/savoryshift review/5
