PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := coordination wire platform daemon control gateway standins
EDITABLE := $(foreach name,$(PACKAGES),-e packages/$(name)) -e platform

.PHONY: demo test test-fast lint setup
.PHONY: bench bench-claims bench-overhead histories propagation slopes soak
.PHONY: trial-judge trial-rollouts fuzz

SEEDS ?= 1-50
FUZZ_SEED ?= 1

bench: setup
	$(BIN)/python -m wharf_standins bench

demo: setup
	$(BIN)/python -m wharf_standins demo

propagation: setup
	$(BIN)/python -m wharf_standins propagation

bench-overhead: setup
	$(BIN)/python -m wharf_standins bench-overhead

bench-claims: setup
	$(BIN)/python -m wharf_standins claims-bench
	$(BIN)/python -m wharf_standins outage-trial

histories: setup
	$(BIN)/python -m wharf_standins histories --seeds 1-200 --requests 500

soak: setup
	$(BIN)/python -m wharf_standins soak --seeds $(SEEDS)

fuzz: setup
	$(BIN)/python -m pytest packages/gateway/tests/test_fuzz_border.py \
	    packages/gateway/tests/test_fuzz_callers.py \
	    --hypothesis-profile=fuzz --hypothesis-seed=$(FUZZ_SEED)

slopes: setup
	$(BIN)/python -m wharf_standins slopes

trial-rollouts: setup
	$(BIN)/python -m wharf_standins trial-rollouts
	$(BIN)/python -m wharf_standins trial-daemons

trial-judge: setup
	$(BIN)/python -m wharf_standins trial-judge

test: setup
	$(BIN)/python -m pytest

# Without the tests that run whole systems of processes; under two minutes.
test-fast: setup
	$(BIN)/python -m pytest $(addprefix packages/,$(filter-out standins,$(PACKAGES)))

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@
