#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review. Needs only the JDK. The entry program
# is built by deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
