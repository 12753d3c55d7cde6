#!/bin/sh
# Builds the stand-ins that the scripts start; needs the JDK only.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac -nowarn -d target lib/*.java
