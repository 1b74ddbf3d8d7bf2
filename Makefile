VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
# Processes that run tests; the tests of one module run in the same one.
TEST_PROCESSES ?= 5

.PHONY: run test check bench faults

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps -e .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/sesame-local --config examples/kalina.ini --seconds 15 --seed 1 \
	  --fault upstream-crash@4 --fault entry-crash@7 --fault drain-vm@10

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/lint-imports

bench: $(STAMP)
	$(BIN)/python -m benchmarks

faults: $(STAMP)
	$(BIN)/python -m benchmarks.faults
