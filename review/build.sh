#!/bin/sh
# The stand-ins are Python modules (tests/support and review/common) that use the libraries in
# target/deps only. This checks that they and the cases can be loaded after the deploy build.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:tests:review/common python3 - <<'CHECK'
import ast
from pathlib import Path

import world  # noqa: F401

for case in sorted(Path("review").glob("*/case.py")):
    ast.parse(case.read_text(), str(case))
CHECK
