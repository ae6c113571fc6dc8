.PHONY: demo test bench capacity soak check-model check-proofs platform-check lint \
	format setup clean

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := types settings telemetry lifecycle budget net journal consensus catalogue limits \
	sessions load usage locality holders admission backend control proxy statements daemon cli model bench
FOLDERS := $(foreach p,$(PACKAGES),libs/$(p)) platform
STAMP := $(VENV)/.installed
MANIFESTS := constraints.txt requirements-dev.txt \
	$(foreach f,$(FOLDERS),$(f)/pyproject.toml)

setup: $(STAMP)

# hdrhistogram has no wheel for arm64. It is built with pip's build isolation,
# which brings the setuptools, pbr and wheel that its build needs.
$(STAMP): $(MANIFESTS)
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
		hatchling editables hdrhistogram
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
		--no-build-isolation -r requirements-dev.txt \
		$(foreach f,$(FOLDERS),-e $(f))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/siskinsail-bench demo

# Tests of real processes wait more than they compute, so they run side by side.
TEST_WORKERS ?= 5
test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal

platform-check: $(STAMP)
	$(BIN)/python -m pytest platform/tests

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
	$(BIN)/mypy $(foreach p,$(PACKAGES),libs/$(p)/siskinsail_$(p)) \
		platform/siskinsail_platform
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV)
