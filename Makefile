PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := coordination wire platform daemon control standins
EDITABLE := $(foreach name,$(PACKAGES),-e packages/$(name))

.PHONY: histories trial-rollouts demo test lint setup

demo: setup
	$(BIN)/python -m wharf_standins demo

histories: setup
	$(BIN)/python -m wharf_standins histories --seeds 1-200 --requests 500

trial-rollouts: setup
	$(BIN)/python -m wharf_standins trial-rollouts

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@
