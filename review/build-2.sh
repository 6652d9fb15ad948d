#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -Wall -Wextra -pthread"
rig=review/rig-2
# shellcheck disable=SC2086
for n in 6 7; do
  cc $flags -o "$out/case$n" "$rig/case$n.c" "$rig/rig.c"
done
# shellcheck disable=SC2086
for n in 8 9; do
  cc $flags -o "$out/case$n" "$rig/case$n.c" "$rig/crowd.c" "$rig/rig.c"
done
