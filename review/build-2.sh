#!/bin/sh
# Builds the stand-ins of the cases from number 6 on; they need the Java compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:none -d target/review-2 review/stand-ins-2/*.java
