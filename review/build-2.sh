#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the
# deploy file: sh review/build-2.sh
set -e
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/standin/http_server.o target/standin/job_store.o \
    target/standin/listen.o target/libshell.a target/libcore.a >/dev/null
mkdir -p target/review-2
FLAGS="-D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra -Isrc/core -Isrc/shell -Istandin"
OBJECTS="target/standin/http_server.o target/standin/job_store.o target/standin/listen.o"
LIBS="target/libshell.a target/libcore.a -lwebsockets -lhttp_parser -llog4c -ljson-c -lmsgpackc -lxxhash -lm"
for name in platform worker; do
	# shellcheck disable=SC2086
	${CC:-gcc} $FLAGS -o target/review-2/$name review/fleet/$name.c $OBJECTS $LIBS
done
for name in call network; do
	${CC:-gcc} -D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra \
	    -o target/review-2/$name review/fleet/$name.c
done
