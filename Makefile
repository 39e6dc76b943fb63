PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
KEEP ?= 0
JOBS ?= 6
SEEDS ?= 50

.PHONY: setup format test demo demo-platform soak

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest -n $(JOBS) --dist loadgroup

demo: setup
	$(BIN)/python -m scripts.demo --keep=$(KEEP)

demo-platform: setup
	$(BIN)/python -m scripts.demo_platform

soak: setup
	$(BIN)/python -m soak --seeds=$(SEEDS)
