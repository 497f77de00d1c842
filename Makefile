# All targets except wire require only Go and install the tools that they need.

GO ?= go
BIN := $(CURDIR)/bin
MODULES := kernel hall limpet keeper hallctl standin platform
LINT_VERSION := v2.15.0
LINT := $(BIN)/golangci-lint-$(LINT_VERSION)
GOPLS_VERSION := v0.21.0
GOPLS := $(BIN)/gopls-$(GOPLS_VERSION)

.PHONY: capacity build test unit lint format gopls demo wire bench clean

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./hall/cmd/hall ./limpet/cmd/limpet ./hallctl/cmd/hallctl ./standin/cmd/standin

test: build lint unit

unit:
	@_scripts/unit $(MODULES)

lint: $(LINT)
	@for module in $(MODULES); do \
		echo "vet and lint $$module"; \
		(cd $$module && $(GO) vet ./... && $(LINT) run --config $(CURDIR)/.golangci.yml ./...) || exit 1; \
	done

format: $(LINT)
	@for module in $(MODULES); do (cd $$module && $(LINT) fmt --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

$(LINT):
	@mkdir -p $(BIN)
	GOWORK=off GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(BIN)/golangci-lint $(LINT)

# Installs gopls. To rename an identifier in all modules of the Go workspace:
# bin/gopls-VERSION rename -w FILE:LINE:COLUMN NEW
gopls: $(GOPLS)

$(GOPLS):
	@mkdir -p $(BIN)
	GOWORK=off GOBIN=$(BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $(GOPLS)

demo: build
	$(BIN)/standin demo --seconds 10

# Regenerates the code of kernel/wire. Only needed after a change of wire.proto, as
# the generated code is committed. Requires protoc, protoc-gen-go and
# protoc-gen-twirp.
wire:
	protoc --go_out=. --go_opt=module=limpethall.dev --twirp_out=. --twirp_opt=module=limpethall.dev kernel/wire/wire.proto

# Runs the benchmarks of the cost of one hall, limpet, program, workspace or change.
# See docs/CAPACITY.md.
capacity:
	@for module in kernel hall standin; do (cd $$module && $(GO) test -run "^$$" -bench "Slope|Added|Requests|Take" -benchmem ./...) | grep -v "no test files" || exit 1; done

bench:
	@for module in $(MODULES); do (cd $$module && $(GO) test -run '^$$' -bench . -benchmem ./...) || exit 1; done

clean:
	rm -rf $(BIN)
