"""The operators' command, `apricotpath`."""
