#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the programs of
# the deploy file. Their stand-ins are in Python and need only its standard
# library, so there is nothing to compile: this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
