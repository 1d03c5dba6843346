#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Run the build of the deploy file and review/build-2.sh first.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/jayturn.jar ] && [ -f target/review-2/Case10.class ] || exit 2
timeout -k 5 115 java -Xmx128m -cp target/review-2 Case10 "$here" 2>"$here/error.txt"
code=$?
[ -s "$here/error.txt" ] && cat "$here/error.txt" >&2
rm -f "$here/error.txt"
case $code in 0) exit 0;; esac
# The virtual machine ends with 1 for an exception, too.
if [ $code -eq 1 ] && tail -1 "$here/record.txt" | grep -q BROKEN; then exit 1; fi
exit 2
