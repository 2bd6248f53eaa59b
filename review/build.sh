#!/bin/sh
# Builds the stand-ins of the scripts in this folder.
cd "$(dirname "$0")/.." && exec go build -o target/review/reviewkit ./review/_kit
