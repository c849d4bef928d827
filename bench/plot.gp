# Draws the CSV file of teasellock_bench:
#   gnuplot -e "csv='run.csv'; png='run.png'" bench/plot.gp
if (!exists("csv")) csv = 'bench.csv'
if (!exists("png")) png = 'bench.png'
set datafile separator ','
set terminal pngcairo size 1200,900
set output png
set key outside right noenhanced
set grid
set xlabel 'second'
classes = system(sprintf("tail -n +2 '%s' | cut -d, -f1,3 | sort -u | tr '\\n' ' '", csv))
rows(class) = sprintf("< awk -F, '$1\",\"$3 == \"%s\"' '%s'", class, csv)
set multiplot layout 2,1
set ylabel 'statements per second'
plot for [class in classes] rows(class) using 2:4 with linespoints title class
set ylabel 'p99 (ms)'
set logscale y
plot for [class in classes] rows(class) using 2:7 with linespoints title class
unset multiplot
