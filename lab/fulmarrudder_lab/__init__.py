"""Stand-ins for the systems served, load and experiments."""
