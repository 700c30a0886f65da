.DEFAULT_GOAL := help
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := goldcrestgrade goldcrestgrade-node goldcrestgrade-operator goldcrestgrade-testing
SEED ?= 1
SCENARIO ?= all
PLATFORM ?= own
MINUTES ?= 1
POLICIES ?= current
SEEDS ?= 2
SIZE ?= 1
LANDING ?= HEAD

.PHONY: help install test lint format demo capacity soak bench-costs reference latency bench model soak-faults regression losses

help: ## List the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/:/'

$(VENV)/ready: constraints.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt setuptools wheel ruff mypy types-PyYAML
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

install: $(VENV)/ready ## Create the virtual environment with the pinned libraries

test: install ## Run the tests
	$(BIN)/python -m pytest -n 6 --dist loadgroup -rxX -m "not alone"
	$(BIN)/python -m pytest -rxX -m alone

lint: install ## Check format, lint and types
	$(BIN)/ruff format --check packages platform conftest.py
	$(BIN)/ruff check packages platform conftest.py
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/$(p)/$(subst -,_,$(p)))
	cd platform && MYPYPATH=../packages/goldcrestgrade:../packages/goldcrestgrade-node ../$(BIN)/mypy --config-file ../pyproject.toml goldcrestgrade_adapter

format: install ## Format the sources
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

demo: install ## Run the Letters Desk demo on loopback for half a minute: PLATFORM=own or PLATFORM=fleet
ifeq ($(PLATFORM),fleet)
	$(BIN)/python -m goldcrestgrade_testing.fleet_platform.demo
else
	$(BIN)/python -m goldcrestgrade_testing.demo --seed=$(SEED)
endif

capacity: install ## Measure the cost of membership and of the sheet, and fit it to the number of nodes
	$(BIN)/python -m goldcrestgrade_testing.capacity --seed=$(SEED)
	$(BIN)/python -m goldcrestgrade_testing.loopback --nodes=16

soak: install ## Run generated schedules of run-once requests and faults, generated from SEED
	$(BIN)/python -m goldcrestgrade_testing.soak --seed=$(SEED)

bench-costs: install ## Measure the processor time of routing decisions
	$(BIN)/python -m goldcrestgrade_testing.bench.costs

reference: install ## Write the generated tables of the documentation
	$(BIN)/python -m goldcrestgrade_testing.reference

latency: install ## Measure the latency that a node adds to a request, on real sockets
	$(BIN)/python -m goldcrestgrade_testing.latency --seed=$(SEED) --json=latency.json

bench: install ## Compare routing policies in virtual time: SCENARIO=all, SEED=1
	$(BIN)/python -m goldcrestgrade_testing.bench --scenario=$(SCENARIO) --seed=$(SEED)

model: install ## Play loads on a modelled fleet with the real decisions: POLICIES=current, SEEDS=2
	$(BIN)/python -m goldcrestgrade_testing.fleet_model --policies="$(POLICIES)" --seeds=$(SEEDS)

regression: install ## Compare the latest scores in the journal with those of LANDING, the last landing's commit
	$(BIN)/python -m goldcrestgrade_testing.regression --landing=$(LANDING)

losses: install ## Print where the latest score of each site in the journal lost worth
	$(BIN)/python -m goldcrestgrade_testing.regression.losses

soak-faults: install ## Run the real programs under injected faults: MINUTES=1, SEED=1, SIZE=1; SEED=0 draws a random seed
	$(BIN)/python -m goldcrestgrade_testing.fault_soak --seed=$(SEED) --minutes=$(MINUTES) --size=$(SIZE) --logs=soak-logs
	@echo "lines of the soak, and of all code:"; cat packages/goldcrestgrade-testing/goldcrestgrade_testing/fault_soak/*.py | wc -l; cat $$(git ls-files 'packages/*.py' 'platform/*.py') | wc -l
