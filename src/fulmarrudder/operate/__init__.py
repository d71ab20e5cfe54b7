"""Pipeline of operators' commands: parse, execute, render the answer."""
