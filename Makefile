# The two commands of the README, and what CI adds to them.
BUILD ?= build
DEPLOYMENT ?= cooperative

.PHONY: all packages build test demo format check-format lint generate

all: build

packages:
	@tools/install-packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: build
	@tools/run-tests $(BUILD)

demo: build
	@tools/demo $(BUILD) $(DEPLOYMENT)

format: packages
	@tools/sources | xargs clang-format-16 -i

check-format: packages
	@tools/sources | xargs clang-format-16 --dry-run --Werror

lint: build
	@tools/lint $(BUILD)

generate: packages
	@thrift --gen cpp:no_skeleton,moveable_types \
	  -out generated/protocol/gen src/protocol/peer.thrift
