#!/usr/bin/env bash
# Draws docs/plots/*.svg from docs/measurements.csv.
set -euo pipefail
cd "$(dirname "$0")/.."
CSV=docs/measurements.csv
mkdir -p docs/plots
# Prints a line "load value" for each load. Arguments: workload, policy, measure, subject.
points() {
    awk -F, -v w="bench/workloads/$1.toml" -v p="$2" -v m="$3" -v s="$4" \
        '$1 == w && $2 == p && $4 == "steady" && $5 == m && $6 == s { print $3, $7 }' "$CSV" | sort -n
}
# Draws one plot. Arguments: workload, measure, subject, title, unit, gnuplot command for the scale of the value axis.
plot() {
    local workload=$1 measure=$2 subject=$3 title=$4 unit=$5 scale=$6
    local name="docs/plots/$workload-${measure// /-}-${subject// /-}.svg"
    {
        echo "set terminal svg size 560,360; set output '$name'; set title '$title'"
        echo "set xlabel 'load (multiple of the full load)'; set ylabel '$unit'; set key left top; $scale"
        for policy in share fifo first-fit random; do
            printf '$%s << EOD\n%s\nEOD\n' "${policy//-/_}" "$(points "$workload" "$policy" "$measure" "$subject")"
        done
        echo "plot \$share w lp t 'share', \$fifo w lp t 'fifo', \$first_fit w lp t 'first fit', \$random w lp t 'random'"
    } | gnuplot
}
plot association "wait p99" booking "Association: booking, wait p99" ms "set logscale y"
plot association "share distance" "of the cell" "Association: distance from share" "% of the cell" ""
plot association used cpu "Association: processors in use" "%" ""
plot gilded-vane "wait p99" quote "Gilded Vane: quote, wait p99" ms "set logscale y"
plot gilded-vane "share distance" "of the cell" "Gilded Vane: distance from share" "% of the cell" ""
plot gilded-vane used accelerators "Gilded Vane: accelerators in use" "%" ""
