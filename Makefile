.PHONY: test demo soak platform-soak fuzz bench slopes format venv generate

VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
# A worker that ends, for example at pytest's faulthandler_timeout, isn't replaced: its successor
# would run the same test again, without end.
PARALLEL := -n auto --maxprocesses 7 --dist loadfile --max-worker-restart 0

test: $(STAMP)
	$(BIN)/black --check --quiet src standins testing tools deploy
	$(BIN)/ruff check --quiet src standins testing tools deploy
	$(BIN)/mypy
	$(BIN)/python -m pytest -m crowd
	$(BIN)/python -m pytest $(PARALLEL) -m "not crowd"

demo: $(STAMP)
	$(BIN)/python -m standins.demo

soak: $(STAMP)
	$(BIN)/python -m standins.soak $(SOAK_OPTIONS)

platform-soak: $(STAMP)
	$(BIN)/python -m standins.platform_soak $(SOAK_OPTIONS)

fuzz: $(STAMP)
	FUZZ_FACTOR=20 $(BIN)/python -m pytest -k "machine or Machine or Ledger or fuzz or random or anything or garbage or bytes or frames"

bench: $(STAMP)
	$(BIN)/python tools/bench_relay.py bench
	$(BIN)/python tools/bench_declarations.py
	$(BIN)/python tools/bench_decisions.py

slopes: $(STAMP)
	$(BIN)/python -m tools.slopes

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet src standins testing tools deploy || true
	$(BIN)/black --quiet src standins testing tools deploy

generate: $(STAMP)
	$(BIN)/python tools/generate.py

venv: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)
