#!/bin/sh
# A node gets SIGTERM and, while it still answers, SIGHUP. Exit 1: accepted requests were lost; 0: none was; 2: the case could not run.
# TROUBLE=0 leaves the SIGHUP out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/monsoonrail ] && [ -x target/review/case1 ] || { echo "build first: deploy file, then review/build.sh"; exit 2; }
exec target/review/case1 -record review/1/record.txt -trouble "${TROUBLE:-1}"
