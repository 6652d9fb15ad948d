#!/bin/sh
# Builds the stand-ins of review/11 to review/15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
rig=review/rig-3
mkdir -p "$out"
for source in "$rig"/case*.c; do
  name=$(basename "$source" .c)
  cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "$out/$name" "$source" \
    "$rig/rig.c"
done
