#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lavendervaled ] || [ ! -x target/review/harness ]; then
  echo "build first: the command of deploy/system.toml, and review/build.sh" >&2
  exit 2
fi
exec target/review/harness aged target/lavendervaled review/4/record.txt
