"""Pipeline from operators' commands to records and tables."""
