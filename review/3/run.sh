#!/bin/sh
# A server answers with a 503 after it has run a request. Exit 1: a caller was told that its request has not run; 0: none was; 2: the case
# could not run.
# TROUBLE=0 lets all servers be sound.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/monsoonrail ] && [ -x target/review/case3 ] || { echo "build first: deploy file, then review/build.sh"; exit 2; }
exec target/review/case3 -record review/3/record.txt -trouble "${TROUBLE:-1}"
