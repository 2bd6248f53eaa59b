#!/bin/sh
# Builds what the scripts of review/6 to review/10 start: their stand-ins. The router is built
# as the deploy file says.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-2 ./review/_kit-2
