PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := base model store backend policy peers gateway daemon cli
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform -e standins

.PHONY: setup test demo check

$(VENV)/installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml standins/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools wheel
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation --config-settings editable_mode=compat $(EDITABLE)
	touch $@

setup: $(VENV)/installed

test: setup
	$(BIN)/python -m cowslipvalve_standins.testrun

demo: setup
	$(BIN)/python -m cowslipvalve_standins.demo
	$(BIN)/python -m cowslipvalve_standins.wiredemo

check: setup
	$(BIN)/pyink --check --quiet packages platform standins
	$(BIN)/ruff check --quiet packages platform standins
	$(BIN)/mypy packages platform standins
