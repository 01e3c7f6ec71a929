#!/bin/sh
# Builds the stand-ins of the cases 6 to 9: plain Python, nothing to install.
cd "$(dirname "$0")" || exit 2
for file in harness_2/*.py 6/*.py 7/*.py 8/*.py 9/*.py; do
    [ -e "$file" ] || continue
    python3 -c "compile(open('$file').read(), '$file', 'exec')" || exit 1
done
