#!/bin/sh
# A request comes again and again that crashes each server after the first event of its answer. Exit 1: it reached servers in more retries than
# allowed; 0: it did not; 2: the case could not run. TROUBLE=0 leaves that request out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/monsoonrail ] && [ -x target/review/case2 ] || { echo "build first: deploy file, then review/build.sh"; exit 2; }
exec target/review/case2 -record review/2/record.txt -trouble "${TROUBLE:-1}"
