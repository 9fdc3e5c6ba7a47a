PYTHON ?= python3.11
BIN := .venv/bin
SEEDS ?= 200
WORKERS ?= 4

.PHONY: setup demo test check format soak lock proto

setup: .venv/.installed

.venv/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

demo: setup
	$(BIN)/jujubewharf demo

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: check
	$(BIN)/pytest -n $(WORKERS) -m "not alone"
	$(BIN)/pytest -m alone

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: setup
	$(BIN)/python -m tests.soak --seeds $(SEEDS)

lock:
	$(BIN)/pip freeze --exclude-editable > requirements.lock

proto: setup
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I src \
	  --python_out=src --mypy_out=src --grpc_python_out=src \
	  --mypy_grpc_out=src src/jujubewharf/operators/jujubewharf.proto
