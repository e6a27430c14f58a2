#!/usr/bin/env bash
# Compiles the stand-ins of the second review into target/review-2/. The scripts start no other stand-in.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/find-java
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/stand-ins-2/*.java
