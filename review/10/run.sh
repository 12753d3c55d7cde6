#!/usr/bin/env bash
exec "$(dirname "$0")/../lib-2/run-case.sh" NoiseCase "review/10"
