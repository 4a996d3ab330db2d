#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figd ] && [ -x review/bin/rig ] || { echo "build first: the build line of deploy/system.toml, review/build.sh"; exit 2; }
exec review/bin/rig overtaken . review/3/record.txt
