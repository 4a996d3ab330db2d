MODULES := . ./figd ./figctl ./figbed
PACKAGES := ./... ./figd/... ./figctl/... ./figbed/...
COUNT ?= 1

.PHONY: all build format lint vet test demo

all: test

build:
	go build -o bin/ ./figd ./figctl ./figbed

format:
	go tool gofumpt -w $$(git ls-files '*.go')

lint:
	@out=$$(go tool gofumpt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted by gofumpt:"; echo "$$out"; exit 1; fi
	go tool revive -config revive.toml -set_exit_status $(PACKAGES)

vet:
	go vet $(PACKAGES)

test: lint vet
	go test -count=$(COUNT) -timeout 20m $(PACKAGES)

demo: build
	bin/figbed demo --bin bin
