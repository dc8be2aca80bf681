#!/usr/bin/env bash
# Builds the stand-in of the cases in review/11 to review/15 into build/review-3/. Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
compile() {
    g++ -std=c++20 -O1 -c "review/cell-3/$1.cpp" -o "build/review-3/$1.o"
}
for name in http cell cases main; do compile "$name" & done
wait
g++ -o build/review-3/cell build/review-3/{http,cell,cases,main}.o -lboost_json -lpthread
