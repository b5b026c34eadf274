#!/usr/bin/env bash
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
export REPOSITORY=$(cd "$here/../.." && pwd)
for program in target/ebonyplat target/review/standin; do
	if [ ! -x "$REPOSITORY/$program" ]; then
		echo "$program is not built"
		exit 2
	fi
done
exec "$REPOSITORY/target/review/standin" tokens "$here"
