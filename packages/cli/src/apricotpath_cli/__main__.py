"""Runs the operators' command with `python -m apricotpath_cli`."""

import sys

from apricotpath_cli.cmdline import main

sys.exit(main())
