#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/11 to review/15 start.  They
# are the project's own; the daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/standin-jobs
