#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruptions out.
here="$(cd "$(dirname "$0")" && pwd)"
exec java -Xmx64m -cp "$here/../target" LostTurns "$here/../.." "$here"
