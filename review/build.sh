#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/classes
javac -nowarn -encoding UTF-8 -d target/review/classes review/standin/*.java
