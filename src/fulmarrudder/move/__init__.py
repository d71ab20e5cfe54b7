"""Pipeline from evidence to decisions on moves."""
