"""Stand-ins for external systems, load generation and replays."""
