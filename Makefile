VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup test demo bench capacity format docs proto proofs plots score soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps -e .
	touch $@

test: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PYTHON) -m pytest

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: setup
	$(PYTHON) -m emulator.demo

bench: setup
	$(PYTHON) -m bench.runner

capacity: setup
	$(PYTHON) -m bench.capacity

proto: setup
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. hemlockstand/peers/peer.proto

docs: setup
	$(PYTHON) -m hemlockstand.ctl.settings_page docs/settings.md

proofs: setup
	$(PYTHON) -m bench.proofs

plots: setup
	$(PYTHON) -m bench.plots

SOAK ?= --minutes 1 --daemons 4

soak: setup
	$(PYTHON) -m emulator.soak $(SOAK)

FLEETBENCH ?= ../given/kit/more/system/more/bench-d17393/bin/fleetbench
PLATFORM_PAGES := $(dir $(FLEETBENCH))../../..
SITES := $(wildcard $(PLATFORM_PAGES)/further/*.toml $(PLATFORM_PAGES)/sites/*.toml)

score:
	@test -x $(FLEETBENCH) || { echo "no fleetbench at $(FLEETBENCH): not played"; exit 1; }
	$(FLEETBENCH) score $(SITES) --why "$(or $(WHY),make score)"
