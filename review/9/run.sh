#!/bin/sh
# Plays case 9. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/persimmonpickd target/review/standin2; do
  [ -x "$program" ] || { echo "$program is missing; see review/build-2.sh" >&2; exit 2; }
done
exec target/review/standin2 -case limit -record review/9/record.txt
