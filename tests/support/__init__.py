"""Helpers shared by the step files."""
