#!/bin/sh
# Draws a day of one site: share of worth earned, and machines by pool beside
# what each pool needs, up to half as many again as there are.
# Usage: bench/plot_day.sh LOG OUT.svg, LOG printed by "run SITE DAY --log all".
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
awk '/^from second/ { on = 1; next } /^$/ { on = 0 } on { print $1, $8 }' \
    "$1" >"$work/worth"
# Lines of the controller: machines/need/... of each pool.
awk '/pools: machines\/need/ {
	t = $1
	sub(/.*worker list age ms"/, "")
	for (i = 1; i <= NF; i++) {
		split($i, kv, "=")
		if (split(kv[2], v, "/") > 3)
			print t, v[1], v[2] >> (dir "/pool-" kv[1])
		if (v[1] > most)
			most = v[1]
	}
}
END { print 1.5 * most >(dir "/most") }' dir="$work" "$1"
most=$(cat "$work/most")
{
	echo "set terminal svg size 900,560"
	echo "set output '$2'"
	echo "set multiplot layout 2,1"
	echo "set xrange [0:60]"
	echo "set ylabel 'share of worth earned'"
	echo "set yrange [0:1.05]"
	echo "plot '$work/worth' with steps linewidth 2 notitle"
	echo "set ylabel 'machines (line), need (dots)'"
	echo "set xlabel 'second of the day'"
	echo "set yrange [0:*]"
	printf 'plot '
	n=0
	for pool in "$work"/pool-*; do
		n=$((n + 1))
		name=${pool##*/pool-}
		printf "'%s' using 1:2 with steps linetype %d title '%s', " \
		    "$pool" "$n" "$name"
		printf "'%s' using 1:(\$3 > %s ? %s : \$3) with points linetype %d pointtype 7 pointsize 0.3 notitle, " \
		    "$pool" "$most" "$most" "$n"
	done
	echo
} >"$work/plot.gp"
gnuplot "$work/plot.gp"
