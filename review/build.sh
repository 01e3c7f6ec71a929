#!/bin/sh
# Builds the stand-ins that the scripts start: plain Python of the standard
# library, so it only checks that they compile. The programs themselves come
# from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
exec python3 - <<'END'
import pathlib

for source in sorted(pathlib.Path('.').rglob('*.py')):
    compile(source.read_text('utf-8'), str(source), 'exec')
END
