"""Stand-ins, local deployment, load and reports."""
