#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. Needs bin/ (the build of deploy/balancer.toml) and review/build-2.sh. The play
# takes this shell's place: it ends all its processes, by itself within 112 s, and on a signal.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in bin/spool-router bin/spool-cache review/bin/drill2; do
  [ -x $program ] || { echo "$program is missing"; exit 2; }
done
exec review/bin/drill2 pause "$here/record.txt"
