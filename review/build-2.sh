#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build/review-2, after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release \
    -DCMAKE_CXX_FLAGS_RELEASE=-O2 >/dev/null
cmake --build target -j8 --target camphorpoint standin-metadata
cp target/standin-metadata "$out/"
common=(review/common-2/net.cpp review/common-2/model_replica.cpp
    review/common-2/caller.cpp review/common-2/plain_replica.cpp)
compile() {
    g++ -std=c++20 -O1 -Wall -pthread -I . -o "$out/$1" \
        "${@:2}" "${common[@]}"
}
compile free-ports review/common-2/free_ports.cpp
for each in review/*/case.cpp; do
    number=$(basename "$(dirname "$each")")
    [ "$number" -lt 6 ] || compile "case-$number" "$each"
done
