# The two commands of README: `make demo` and `make test`.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := src:.

.PHONY: demo test check unit format build measure capacity soak clean

demo: $(VENV)/.installed
	$(BIN)/python -m tools.demo

test: check unit

check: $(VENV)/.installed
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tools
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest

format: $(VENV)/.installed
	$(BIN)/ruff format src tests tools
	$(BIN)/ruff check --fix src tests tools

build: $(VENV)/.installed
	rm -rf build
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed -o dist/bergamotshed -e bergamotshed.__main__:run .

measure: $(VENV)/.installed
	$(BIN)/python -m tools.measure
	$(BIN)/python -m tools.measure.path
	$(BIN)/python -m tools.measure.control

# Fresh seeds unless told otherwise: make soak SEEDS=50 FIRST=1
SEEDS ?= 10
FIRST ?= $(shell date +%s)
soak: $(VENV)/.installed
	$(BIN)/python -m tests.soak --seeds $(SEEDS) --first $(FIRST)

capacity: $(VENV)/.installed
	$(BIN)/python -m tools.capacity

$(VENV)/.installed: requirements/run.txt requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	touch $@

clean:
	rm -rf $(VENV) build dist out
