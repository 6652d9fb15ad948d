#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rig=review/rig-2
mkdir -p "$out"
build ()
{
  cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "$out/$1" "$rig/$1.c" \
    "$rig/rig.c" ${2:+"$rig/$2"}
}
build case6
build case7
build case8
build case9
build case10 crowd.c
