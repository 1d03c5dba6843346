#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/lab/*.java
