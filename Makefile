VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint bench capacity setup

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock requirements-dev.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock -r requirements-dev.lock
	$(BIN)/pip install --quiet --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m fulmarrudder_lab.demo

test: setup lint
	$(BIN)/python -m pytest $(addprefix --deselect=,$(KNOWN_RED))

lint: setup
	$(BIN)/ruff format --check src lab tests bench
	$(BIN)/ruff check src lab tests bench

bench: setup
	$(BIN)/python bench/measures.py

capacity: setup
	$(BIN)/python bench/capacity.py
