#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for f in target/cyclamenhitchd target/review-2/standin; do [ -x "$f" ] || { echo "$f is missing"; exit 2; }; done
if [ "${TROUBLE:-1}" = 0 ]; then trouble=no; else trouble=yes; fi
timeout -k 2 117 target/review-2/standin page target/cyclamenhitchd review/9/record.txt "$trouble"
rc=$?
[ "$rc" -le 1 ] || exit 2
exit "$rc"
