# Entry points for people and for CI; the build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = libglib2.0-dev libsoup-3.0-dev libwebsocketpp-dev nlohmann-json3-dev \
  libcli11-dev liblog4cplus-dev libboost-dev libboost-test-dev libxxhash-dev \
  librapidcheck-dev libvalijson-dev libssl-dev zlib1g-dev ninja-build ccache \
  cmake g++ pkg-config clang-format clang-tidy

.PHONY: build check demo format lint packages sanitize clean

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update -q && apt-get install -y -q $(PACKAGES))

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 3
	@if [ -s KNOWN-RED.txt ]; then echo "passed over, see KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi

demo: build
	@examples/demo.sh $(BUILD)

format: packages
	@git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run --Werror

lint: build
	@git ls-files '*.cpp' | xargs -P $(JOBS) -n 2 clang-tidy -p $(BUILD) --quiet --extra-arg=-Wno-unknown-warning-option

sanitize: packages
	@cmake -S . -B $(BUILD)-asan -G Ninja -DVANILLAFERRY_SANITIZE=ON >/dev/null
	@cmake --build $(BUILD)-asan -j $(JOBS)
	@ctest --test-dir $(BUILD)-asan --output-on-failure -R 'core|daemon'
