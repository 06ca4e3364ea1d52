# Everything a newcomer needs: `make demo` and `make test`.
PACKAGES := build-essential cmake pkg-config git \
  libglib2.0-dev libcereal-dev libboost1.81-dev libsoup-3.0-dev libhttp-parser-dev libpopt-dev \
  libgoogle-glog-dev libcpputest-dev nlohmann-json3-dev \
  clang-format-14 clang-tidy-19 clang-19 libclang-rt-19-dev
BUILD := build
JOBS := $(shell nproc)
SUDO := $(if $(filter 0,$(shell id -u)),,sudo)
SOURCES = $(shell git ls-files '*.h' '*.cpp')

.PHONY: setup build demo test soak fuzz format format-check lint performance capacity clean

# Installs what is missing, and nothing if all is there.
setup:
	@dpkg-query -W -f='$${Status}\n' $(PACKAGES) 2>/dev/null | \
	  awk '/^install ok installed/{n++} END{exit n!=$(words $(PACKAGES))}' || \
	  ($(SUDO) apt-get update && \
	   $(SUDO) env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $(PACKAGES))

build: setup
	@cmake -S . -B $(BUILD) > /dev/null
	@$(MAKE) --no-print-directory -C $(BUILD) -j$(JOBS) | grep -vE '^\[|Entering|Leaving|Consolidate' || true
	@$(MAKE) --no-print-directory -s -C $(BUILD)

demo: build
	$(BUILD)/bin/demo examples/agencia

demo-karamanlis: build
	$(BUILD)/bin/demo examples/karamanlis

test: build
	cd $(BUILD) && ctest --output-on-failure -j2

# Other seeds: make soak SEED=200 RUNS=10.
SEED := 1
RUNS := 50
soak: build
	$(BUILD)/bin/soak --seed $(SEED) --runs $(RUNS)

# A bounded number of runs from a fixed seed, so that the verdict is the same
# each time.
fuzz: setup
	@cmake -S test/fuzz -B $(BUILD)-fuzz -DCMAKE_CXX_COMPILER=clang++-19 > /dev/null
	@$(MAKE) --no-print-directory -s -C $(BUILD)-fuzz -j$(JOBS)
	$(BUILD)-fuzz/RuleParserFuzz -runs=60000 -seed=1 -max_len=400 -verbosity=0
	$(BUILD)-fuzz/MessageFuzz -runs=60000 -seed=1 -max_len=600 -verbosity=0
	$(BUILD)-fuzz/HttpMessageFuzz -runs=60000 -seed=1 -max_len=600 -verbosity=0
	$(BUILD)-fuzz/HeartbeatFuzz -runs=60000 -seed=1 -max_len=400 -verbosity=0

performance: build
	$(BUILD)/bin/measure-added-latency
	$(BUILD)/bin/measure-picks
	$(BUILD)/bin/measure-overload
	$(BUILD)/bin/measure-moves

capacity: build
	$(BUILD)/bin/measure-decisions
	$(BUILD)/bin/measure-control

format:
	clang-format-14 -i $(SOURCES)

format-check: setup
	clang-format-14 --dry-run --Werror $(SOURCES)

# The version that understands this compiler's ranges.
lint: build
	git ls-files '*.cpp' ':!test/fuzz' | xargs -P$(JOBS) -n4 clang-tidy-19 -p $(BUILD) --quiet

clean:
	rm -rf $(BUILD)
