# The tasks of the project; `make` lists them.
MODULES := core router operator lab platform
TOOLS   := $(CURDIR)/.bin

.PHONY: help build test format lint vet race histories soak demo fault-soak upgrade-test flood faults delay tour capacity

help: ## list the tasks
	@awk -F ':.*## ' '/^[a-z-]+:.*## /{printf "%-10s %s\n", $$1, $$2}' Makefile

build: ## build the three programs into .bin
	@mkdir -p .bin
	@go build -o .bin/bronzewind ./router
	@go build -o .bin/bronzectl ./operator
	@go build -o .bin/bronzelab ./lab
	@go build -o .bin/bronzewind-platform ./platform

test: format lint vet build race histories ## format check, lint, vet, build, race tests, histories

tools: $(TOOLS)/gofumpt

$(TOOLS)/gofumpt: tools/go.mod
	@cd tools && GOWORK=off GOBIN=$(TOOLS) go install tool

format: tools ## check the format of all Go files
	@out=$$($(TOOLS)/gofumpt -l $(MODULES)); test -z "$$out" || { echo "not formatted (run .bin/gofumpt -w .):"; echo "$$out"; exit 1; }

lint: tools ## staticcheck, revive, exhaustive type switches
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/staticcheck ./... && $(TOOLS)/revive -config ../tools/revive.toml -set_exit_status ./... && $(TOOLS)/go-check-sumtype ./...) || exit 1; done

vet: ## go vet in every module
	@for m in $(MODULES); do (cd $$m && go vet ./...) || exit 1; done

race: ## race tests in every module
	@scripts/race-tests $(MODULES)

histories: ## check 2000 histories of dispatchers and 60 of granters
	@cd core && go test -count=1 ./control -run TestHistories -seeds 2000
	@cd core && go test -count=1 ./ownership -run TestHistories -seeds 60

SEEDS ?= 20000
FIRST ?= 1000000
soak: ## check more histories: SEEDS=20000 FIRST=1000000
	@cd core && go test -count=1 -timeout 6h ./control -run TestHistories -seeds $(SEEDS) -first-seed $(FIRST)

fault-soak: ## real processes under faults: SEEDS=50 FIRST=1
	@cd platform && go test -count=1 -v -timeout 3h ./soak -run TestSoak -seeds $(SEEDS) -first-seed $(FIRST)

OLD ?=
ROLLS ?= 4
upgrade-test: ## old and new builds beside each other: OLD=commit ROLLS=4
	@cd platform && go test -count=1 -v -timeout 1h ./soak -run TestRollingUpgrade -rolls $(ROLLS) -old-commit "$(OLD)"

demo: build ## run the main job on loopback
	@scripts/demo

flood: build ## flood both examples on loopback and print what each kind got
	@scripts/flood

faults: build ## mixed load on both examples while one fault after the other is on
	@scripts/faults

delay: build ## measure what the router adds at half load
	@scripts/delay

tour: ## type the README's tour as it stands
	@scripts/tour

MACHINE ?= $(shell nproc) cores, Go $(shell go env GOVERSION)
capacity: build ## measure the slopes of docs/CAPACITY.md and write its tables
	@.bin/bronzelab capacity docs/CAPACITY.md docs/capacity-slopes.yaml --machine "$(MACHINE)"
	@cd lab && go test -count=1 ./capacity
