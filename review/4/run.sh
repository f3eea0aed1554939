#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/chicorywing-gateway ] || [ ! -x target/review/cases ]; then
  echo "build first: the build of the deploy file, and review/build.sh" >&2
  exit 2
fi
target/review/cases poison-of-a-small-service review/4/record.txt
