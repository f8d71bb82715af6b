#!/bin/sh
# Plays the case "truncated" with the programs of the deploy file and the stand-in that review/build-2.sh builds. It exits with 1 if the rule
# was broken, 0 if it held, and 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x ../bin/standin2 ] && [ -x "$root/bin/sandpass" ] || { echo "build the deploy file's programs and review/build-2.sh first"; exit 2; }
exec ../bin/standin2 truncated "$root" "$PWD/record.txt"
