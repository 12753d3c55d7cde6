#!/usr/bin/env bash
# Runs the scenario class $1 of the case in folder $2; it ends the processes that it starts.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [[ ! -f target/jasmineford-node.jar || ! -d target/review-2 ]]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
timeout --kill-after=5 118 java -Xmx512m -cp target/review-2 "review2.$1" "$2"
code=$?
# A run that takes too long, or is ended by a signal, has shown nothing.
((code <= 2)) || code=2
exit "$code"
