MODULES = . ./cowslipd ./cowslipctl ./standin
PACKAGES = ./... ./cowslipd/... ./cowslipctl/... ./standin/...
TOOL = cd tools && GOWORK=off go build -o ../bin/

.PHONY: build test lint tools demo measure docs

build:
	go build -o bin/ ./cowslipd ./cowslipctl ./standin

test:
	go test -race $(PACKAGES)

tools:
	$(TOOL) github.com/mgechev/revive golang.org/x/tools/cmd/goimports honnef.co/go/tools/cmd/staticcheck

lint: tools
	test -z "$$(bin/goimports -l $$(git ls-files '*.go'))"
	go vet $(PACKAGES)
	bin/revive -config revive.toml -set_exit_status $(PACKAGES)
	bin/staticcheck $(PACKAGES)

demo: build
	demo/run

measure: build
	bin/standin measure -out docs

# Writes the pages that are made from the code.
docs:
	COWSLIP_DOCS=write go test -count 1 -run 'Test(Events|Settings|Metrics)Page' .
