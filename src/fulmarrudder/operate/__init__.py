"""Pipeline of operators' commands: parsing, execution, rendered answers."""
