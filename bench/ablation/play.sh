#!/bin/sh
# Plays the days of a site without one decision at a time: applies each patch
# of this directory to a clone of HEAD and scores it there.
# Usage: bench/ablation/play.sh FLEETBENCH SITE [PATCH...]
set -eu
cd "$(dirname "$0")/../.."
bench=$1
site=$2
shift 2
here=$(pwd)
[ $# -gt 0 ] || set -- bench/ablation/*.patch
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git clone -q . "$work/tree"
cd "$work/tree"
for patch in "$@"; do
	name=$(basename "$patch" .patch)
	git checkout -q -f
	git apply "$here/bench/ablation/$name.patch"
	echo "without $name"
	"$bench" score "$site" --no-cpu --jobs 2 --why "ablation: without $name" |
	    grep -E '^(quiet|trouble|scale|GATE)'
	cp -n journal/*.json "$here/journal/"
	cp -rn journal/blobs/. "$here/journal/blobs/"
done
