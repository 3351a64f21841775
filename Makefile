PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install test lint demo bench capacity soak format regress

SEED ?= 1
SECONDS ?= 60

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

install: $(VENV)/installed

test: install
	$(BIN)/pytest $(PYTEST_ARGS)

lint: install
	$(BIN)/ruff format --check linnetwind standins
	$(BIN)/flake8 linnetwind standins

format: install
	$(BIN)/ruff format linnetwind standins

demo: install
	$(BIN)/python -m standins.demo

bench: install
	$(BIN)/python -m standins.bench docs/MEASUREMENTS.md

capacity: install
	$(BIN)/python -m standins.capacity docs/CAPACITY.md

soak: install
	$(BIN)/python -m standins.soak --seed $(SEED) --seconds $(SECONDS)

regress: install
	$(BIN)/python -m standins.regress "$(BENCH)" $(SITES)
