#!/bin/bash
# Plays the case other-query: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here" && while [ ! -f go.work ] && [ "$PWD" != / ]; do cd ..; done
stand=target/stand-3
[ -x "$stand" ] && [ -x target/platform ] || { echo "build target/platform and $stand first"; exit 2; }
PIDS=$(mktemp) || exit 2
export PIDS
finish() { # ends the processes of this run that are left
	while read -r pid; do
		[ "$(readlink "/proc/$pid/exe")" = "$PWD/target/platform" ] && kill -9 "$pid"
	done <"$PIDS" 2>/dev/null
	rm -f "$PIDS"
}
trap finish EXIT
timeout -k 3 115 "$stand" other-query "$here/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
