#!/bin/sh
# Builds what the scripts of the second review (cases 6 to 10) start beside the project's programs:
# copies of the project's own stand-ins and of the review's world, byte-compiled, in target/review-2.
# Run it after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r tests/support target/review-2/support
cp review/common-2/world.py target/review-2/world.py
PYTHONPATH=target/deps python3 -m compileall -q target/review-2
