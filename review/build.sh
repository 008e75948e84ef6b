#!/bin/sh
# Builds the stand-ins of the scripts under review/ into target/review/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.go; do
  folder=$(dirname "$main")
  go build -tags review -o "target/review/case$(basename "$folder")" "./$folder"
done
