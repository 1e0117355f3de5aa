#!/bin/sh
# A crowd of clients stops half way.
# TROUBLE=0 does the same without the disruption, and must pass.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
trouble=${TROUBLE:-1}
case "$trouble" in 0 | 1) ;; *) echo "TROUBLE is 0 or 1"; exit 2 ;; esac
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -f target/mothwing.jar ] && [ -d target/review-2 ] || { echo "not built"; exit 2; }
exec java -cp target/review-2 CaseCrowd "$folder" "$trouble"
