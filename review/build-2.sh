#!/usr/bin/env bash
# Builds the stand-ins and scenarios of cases 6 to 10 with the JDK alone, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
sources=(review/lib-2/*.java)
for number in 6 7 8 9 10; do
    for source in review/"$number"/*.java; do
        [[ -f "$source" ]] && sources+=("$source")
    done
done
javac -Xlint:-options -d "$out" "${sources[@]}"
