# `make test` and `make demo` install pinned versions into $(VENV) and run.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: install test demo lint format generate

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

install: $(VENV)/.installed

test: install
	$(BIN)/python -m copperloom.tests.run

demo: install
	$(BIN)/python -m copperloom.experiments.demo

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Needs grpcio-tools, which is no dependency: the generated code is committed.
generate:
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. \
	  copperloom/peers/peers.proto

# Measurements; they take minutes and most of the machine's cores.
docs: install
	$(BIN)/python -m copperloom.utils.reference

.PHONY: docs soak capacity policies relay

soak: install
	$(BIN)/python -m bench.frontsoak.main --schedules 50
	$(BIN)/python -m bench.soak --schedules 25 --seed 1

capacity: install
	$(BIN)/python -m copperloom.experiments.capacity

policies: install
	$(BIN)/python -m bench.policies experiments/wroclaw.ini

relay: install
	$(BIN)/python -m bench.relay
