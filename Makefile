VENV ?= .venv
PY := $(VENV)/bin/python

SEEDS ?= 1-5
SOAK_SECONDS ?= 15

.PHONY: setup test lint demo measure soak

$(VENV)/.ready: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[dev]'
	touch $(VENV)/.ready

setup: $(VENV)/.ready

# Tests that measure the memory of a process run one at a time, apart from the others.
ALONE := tests/integration/test_misbehaving_clients.py tests/integration/test_misbehaving_clients_owned.py

test: setup
	$(PY) -m pytest -q -p tests.known_red $(ALONE)
	$(PY) -m pytest -q -p tests.known_red -n 3 --dist loadfile $(ALONE:%=--ignore %)

lint: setup
	$(VENV)/bin/black --check -q gypsumwind tests bench
	$(VENV)/bin/ruff check -q gypsumwind tests bench
	$(VENV)/bin/mypy gypsumwind

measure: setup
	$(PY) -m bench.measure

demo: setup
	$(PY) -m tests.standins.demo

soak: setup
	$(PY) -m tests.soak.play --seeds $(SEEDS) --seconds $(SOAK_SECONDS)
