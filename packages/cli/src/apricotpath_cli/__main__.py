"""Runs the operators' command as `python -m apricotpath_cli`."""

import sys

from apricotpath_cli.cmdline import main

sys.exit(main())
