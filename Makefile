BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: build test format lint install

install:
	.ci/install

build: install
	cmake -S . -B $(BUILD) > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	timeout 600 $(BUILD)/teasellock_tests

format:
	git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '/gen/' | xargs clang-format -i

lint: build
	.ci/lint $(BUILD)
