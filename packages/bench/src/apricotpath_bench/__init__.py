"""Stand-ins for external systems, local deployments, load tests, replays and reports."""
