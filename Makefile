# Thin wrapper around CMake.  Every target works on a fresh checkout.

BUILD ?= build
ASAN_BUILD ?= build-asan
FUZZ_BUILD ?= build-fuzz
JOBS ?= $(shell nproc)
SOURCES = $(wildcard src/*.[ch] standins/*.[ch] tests/*.[ch] bench/*.[ch] \
	    fuzz/*.[ch] examples/*.[ch])

.PHONY: all deps test check check-asan bench fuzz soak format lint demo \
	install clean

all: $(BUILD)/Makefile
	cmake --build $(BUILD) -j $(JOBS)

$(BUILD)/Makefile: CMakeLists.txt | deps
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo

$(ASAN_BUILD)/Makefile: CMakeLists.txt | deps
	cmake -S . -B $(ASAN_BUILD) -DCMAKE_BUILD_TYPE=Debug -DAB_SANITIZE=ON

$(FUZZ_BUILD)/Makefile: CMakeLists.txt | deps
	cmake -S . -B $(FUZZ_BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	  -DCMAKE_C_COMPILER=clang -DAB_FUZZ=ON

deps:
	.ci/deps

check test: all
	tests/run $(BUILD)

check-asan: $(ASAN_BUILD)/Makefile
	cmake --build $(ASAN_BUILD) -j $(JOBS)
	AB_SANITIZED=1 tests/run $(ASAN_BUILD)

soak: all
	tests/soak $(BUILD)

bench: all
	bench/run $(BUILD)

fuzz: $(FUZZ_BUILD)/Makefile
	cmake --build $(FUZZ_BUILD) -j $(JOBS)
	fuzz/run $(FUZZ_BUILD)

demo:
	$(MAKE) all
	$(BUILD)/standins/demo --build $(BUILD)

format:
	clang-format -i $(SOURCES)

lint: $(BUILD)/Makefile
	clang-format --dry-run --Werror $(SOURCES)
	printf '%s\n' $(filter-out fuzz/%,$(filter %.c,$(SOURCES))) \
	  | xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD) \
	    --extra-arg=-Wno-unknown-warning-option

install: all
	cmake --install $(BUILD)

clean:
	rm -rf $(BUILD) $(ASAN_BUILD) $(FUZZ_BUILD)
