# Every target runs on a fresh machine with Go, make and a shell.
MODULES := kernel api config plugins standin entry platform bench cmd scenarios
TOOLS := $(CURDIR)/.tools/bin
LINT_VERSION := v2.15.0
LINT := $(TOOLS)/golangci-lint

.PHONY: all test demo build tools lint tidy model fmt fuzz test-long

all: build

build:
	go build -o bin/ ./cmd/fuchsiaroad ./cmd/fuchsiactl

# The README's test command, less the tests that KNOWN-RED.txt names.
test:
	./.ci/test

demo:
	go run ./cmd/fuchsiactl demo

tools: $(LINT)
	@command -v spin >/dev/null || (apt-get update -q && apt-get install -y -q spin)

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(LINT)
	@for m in $(MODULES); do echo "lint $$m"; (cd $$m && $(LINT) run ./...) || exit 1; done

# Each module states what it needs, the siblings by their folders.
tidy:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy -diff) || { echo "go.mod of $$m is not tidy"; exit 1; }; done

model:
	@./spec/check

fmt:
	gofmt -w $$(git ls-files '*.go')

# Runs every fuzz target for FUZZ_TIME each; docs/FUZZING.md has the last report.
FUZZ_TIME ?= 1m
fuzz:
	@grep -rl --include='*_test.go' 'func Fuzz' . | while read -r f; do \
	  for t in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' $$f); do \
	    echo "$$t in $$(dirname $$f)"; go test ./$$(dirname $$f) -run xxx -fuzz "^$$t$$" -fuzztime $(FUZZ_TIME) -parallel 2 || exit 1; \
	  done; done

# The property tests with random seeds, and more of them.
test-long:
	FUCHSIAROAD_LONG=1 go test -count=1 work
