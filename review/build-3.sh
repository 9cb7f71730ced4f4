#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/11 to review/14 start; the
# daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/standin-jobs
sh review/build-2.sh # the stand-ins of review/fleet, for review/12
gcc -D_GNU_SOURCE -std=gnu11 -O2 -Wall -Wextra -Isrc/core -Isrc/shell -Istandin \
	-o target/review-machines review/standin-3/machines.c \
	target/standin/http_server.o target/standin/listen.o target/standin/log.o \
	target/libshell.a target/libcore.a \
	-lwebsockets -lhttp_parser -llog4c -ljson-c -lmsgpackc -lxxhash -lm
