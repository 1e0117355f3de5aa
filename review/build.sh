#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK that builds the project, and nothing else.
set -eu
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac --release 17 -Xlint:all -d classes common/*.java
