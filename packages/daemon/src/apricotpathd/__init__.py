"""Entry and agent processes."""
