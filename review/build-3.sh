#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3; needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

source scripts/find-java
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 review/stand-ins-3/*.java
