VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint bench format soak

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/almondshift demo

lint: $(STAMP)
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

format: $(STAMP)
	$(BIN)/ruff format src tests bench
	$(BIN)/ruff check --fix src tests bench

test: $(STAMP)
	$(BIN)/python -m tests.run

bench: $(STAMP)
	$(BIN)/python -m bench.run

# Options of one long run: make soak SOAK="--seed 7 --seconds 600 --nodes 20"
SOAK := --seconds 300 --nodes 6 --engines 16
soak: $(STAMP)
	$(BIN)/python -m tests.soak.run $(SOAK)
