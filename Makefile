.PHONY: demo test bench capacity soak check-model check-proofs lint format setup clean

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := types settings telemetry net journal consensus catalogue limits \
	sessions backend control proxy statements daemon cli model bench
STAMP := $(VENV)/.installed
MANIFESTS := constraints.txt requirements-dev.txt \
	$(foreach p,$(PACKAGES),libs/$(p)/pyproject.toml)

setup: $(STAMP)

$(STAMP): $(MANIFESTS)
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
		hatchling editables
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
		--no-build-isolation -r requirements-dev.txt \
		$(foreach p,$(PACKAGES),-e libs/$(p))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/siskinsail-bench demo

test: $(STAMP)
	$(BIN)/python -m pytest

JOBS ?= 1
check-proofs: $(STAMP)
	$(BIN)/python tests/run_mutations.py $(ONLY) --jobs $(JOBS)

check-model: $(STAMP)
	$(BIN)/siskinsail-model check

bench: $(STAMP)
	$(BIN)/siskinsail-bench report

capacity: $(STAMP)
	$(BIN)/siskinsail-bench capacity

SEEDS ?= 20
soak: $(STAMP)
	$(BIN)/siskinsail-bench soak --seeds $(SEEDS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy $(foreach p,$(PACKAGES),libs/$(p)/siskinsail_$(p))
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV)
