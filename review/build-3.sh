#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain Python beside the
# cases and need nothing but the standard library, so this only checks that they
# compile. The project's programs come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PYTHON'
import pathlib
import sys

names = ('harness_3', '11', '12', '13', '14', '15')
paths = [
    path
    for name in names
    for path in sorted(pathlib.Path('review', name).glob('*.py'))
]
for path in paths:
    compile(path.read_text('utf-8'), str(path), 'exec')
print(f'{len(paths)} files compile', file=sys.stderr)
PYTHON
