#!/usr/bin/env bash
# Compiles the stand-ins of the review into target/review/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/find-java
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/harness/*.java
