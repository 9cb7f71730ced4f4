#!/bin/sh
# Runs every test program, counts their TAP lines and prints one closing line.
# A failure that KNOWN-RED.txt names is printed and passed over.  A program
# that ends without a result (a crash) counts as a failure of its own name.
set -u
build=${BUILD:-build}
seed=${SEED:-20261204}
export RC_PARAMS="seed=$seed ${RC_EXTRA:-}"
work=$build/results
rm -rf "$work"
mkdir -p "$work"
: >"$work/tap"

run_program() {
	name=$(basename "$1")
	"$@" >"$work/$name.out" 2>&1
	code=$?
	grep -E '^(not )?ok ' "$work/$name.out" >"$work/$name.tap"
	cat "$work/$name.tap" >>"$work/tap"
	if [ $code -ne 0 ]; then
		tail -n 60 "$work/$name.out"
		grep -q '^not ok' "$work/$name.tap" ||
		    echo "not ok - $name ended with code $code" >>"$work/tap"
	fi
}

for t in "$build"/prop_*; do
	[ -x "$t" ] && [ -f "$t" ] && run_program "$t"
done
# Seeds that failed once: acknowledgements told again to a new life of a worker,
# an owner that had been replaced commanding one.
[ -x "$build/prop_jobs" ] && (
	export RC_PARAMS="seed=20261205 max_success=2500"
	run_program "$build/prop_jobs"
)
# A late start that reached a restarted worker, its task running elsewhere.
[ -x "$build/prop_one_run" ] && (
	export RC_PARAMS="seed=20261206 max_success=300"
	run_program "$build/prop_one_run"
)
# Two workers of a pool that were both evacuated for good.
[ -x "$build/prop_machines" ] && (
	export RC_PARAMS="seed=2 max_success=60"
	run_program "$build/prop_machines"
)
for t in unit process; do
	[ -x "$build/$t" ] && run_program "$build/$t" --tap=- -j4
done
run_script() {
	name=$(basename "$2" .script)
	"$1" "$2" >"$work/$name.actual" 2>&1
	if diff -u "${2%.script}.expected" "$work/$name.actual" \
	    >"$work/$name.diff"; then
		echo "ok - script.$name" >>"$work/tap"
	else
		head -n 60 "$work/$name.diff"
		echo "not ok - script.$name" >>"$work/tap"
	fi
}

for s in tests/scripts/*.script; do
	[ -f "$s" ] && run_script "$build/script" "$s"
done
for s in tests/jobs/*.script; do
	[ -f "$s" ] && run_script "$build/job_script" "$s"
done

passed=$(grep -c '^ok ' "$work/tap")
grep '^not ok' "$work/tap" | sed 's/^not ok *[0-9]* *- *//' >"$work/failed"
failed=0
while IFS= read -r line; do
	test=${line%% *}
	if [ -f KNOWN-RED.txt ] && grep -q "^$test " KNOWN-RED.txt; then
		echo "known red: $line"
	else
		echo "FAILED: $line"
		failed=$((failed + 1))
	fi
done <"$work/failed"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
