#!/bin/sh
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
program="$here/../stand/target/release/stand"
[ -x "$program" ] && [ -x "$here/../../target/release/fernspan" ] || {
	echo "could not run: build first, with the deploy file's build and review/build.sh"
	exit 2
}
exec "$program" slow "$here/../.." "$here"
