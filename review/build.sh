#!/bin/sh
# Builds the stand-ins of the scripts: they need only Python's standard library, so this checks
# that they compile. The daemons come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in common/*.py [0-9]/*.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
