#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.c; do
  [ -f "$source" ] || continue
  ${CC:-cc} -std=gnu11 -O1 -g -Wall -Wextra -pthread -Irig -o "bin/case-${source%/case.c}" "$source" rig/rig.c
done
