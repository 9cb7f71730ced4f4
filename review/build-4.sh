#!/bin/sh
# Builds the stand-ins of the cases 16 to 20 into target/.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-4
flags="-std=gnu11 -O2 -Wall -Wextra"
cc $flags -o target/review-4/world review/standin-4/world.c -ljson-c &&
	cc $flags -D_GNU_SOURCE -o target/review-4/call review/standin-4/call.c
