"""Runs the daemon with `python -m apricotpathd`."""

import sys

from apricotpathd.cmdline import main

sys.exit(main())
