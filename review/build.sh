#!/usr/bin/env bash
# Builds the programs that the review's scripts start: the stand-in of the
# platform with its workers, and one driver for each script.
set -eu
cd "$(dirname "$0")/.."
cases="ends stale upkeep late refused cross"
objects=""
for name in $cases; do
	objects="$objects target/review/driver/$name.o"
done
# shellcheck disable=SC2086
make -j8 BUILD=target target/mimosalead target/standin-jobs \
    target/review/standin/workers.o target/review/driver/driver.o \
    target/review/driver/proxy.o $objects
gcc -o target/review/workers target/review/standin/workers.o \
    target/standin/http_server.o target/standin/job_store.o \
    target/standin/listen.o target/libshell.a target/libcore.a \
    -lwebsockets -lhttp_parser -llog4c -ljson-c -lmsgpackc -lxxhash -lm
for name in $cases; do
	gcc -o "target/review/$name" "target/review/driver/$name.o" \
	    target/review/driver/driver.o target/review/driver/proxy.o -lpthread
done
