#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 runs it without the disruption. review/build.sh must have run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-5
if [ ! -x "$program" ] || [ ! -x target/yuccafall ]; then
  echo 'build the deploy file, then run review/build.sh' >&2
  exit 2
fi
"$program" review/5/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
