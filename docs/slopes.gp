# Plots every docs/slopes/*.dat (x, measured, fit) as an SVG beside it.
set terminal svg size 480,300 font "sans,11"
set grid
set key top left
set xrange [0:*]
set yrange [0:*]
do for [f in system("ls docs/slopes/*.dat")] {
	name = f[strlen("docs/slopes/") + 1:strlen(f) - strlen(".dat")]
	unit = system("sed -n 's/.*x in \\([^,]*\\), y in \\([^;]*\\);.*/\\1 \\2/p' ".f)
	set output "docs/slopes/".name.".svg"
	set title name noenhanced
	set xlabel word(unit, 1) noenhanced
	set ylabel word(unit, 2) noenhanced
	plot f using 1:2 with points pt 7 title "measured", \
	    f using 1:3 with lines title "fit"
}
