#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15: plain Python of the standard
# library, which is compiled only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
python3 - <<'END'
import py_compile
from pathlib import Path

paths = [Path("review/common-3/world.py")]
paths += [path for number in range(11, 16) for path in Path(f"review/{number}").glob("*.py")]
for path in sorted(paths):
    py_compile.compile(str(path), cfile=f"target/review-3/{path.stem}-{path.parent.name}.pyc", doraise=True)
END
