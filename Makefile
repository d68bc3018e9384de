# make          build everything
# make check    install dependencies, build, lint and run every test
# make soak     run a seed of the fault soak: SEED, SECS, HOSTS
# make fuzz     fuzz the parsers of external input: SECS for each
# make demo     start a small fleet, serve requests through it, stop it
# make bench    run the measurements cited in docs/CAPACITY-NATIVE.md
SHELL =		/bin/bash
LIBS =		proto lib decide platform
PROGS =		gspard gsparctl standin
TESTS =		regress/unit regress/scenario
BUILD ?=	plain

all: deps
	@for d in $(LIBS); do $(MAKE) -s -C $$d BUILD=$(BUILD) || exit 1; done
	@$(MAKE) -s -j4 progs

# Only the daemon, for the hosts of the platform: target/gspard.
fleet:
	@for d in $(LIBS) gspard; do \
	    $(MAKE) -s -C $$d BUILD=$(BUILD) || { \
		echo "If a header is missing, run make deps." >&2; \
		exit 1; \
	    }; done
	@mkdir -p target
	@cp build/$(BUILD)/gspard/gspard target/.gspard.new
	@mv -f target/.gspard.new target/gspard

# The daemon with switches that turn single mechanisms off, to measure their
# effect.
ablation:
	@$(MAKE) -s BUILD=ablation fleet

progs: $(PROGS) $(TESTS)
$(PROGS) $(TESTS):
	@$(MAKE) -s -C $@ BUILD=$(BUILD)

deps:
	@sh regress/deps.sh

check: all
	@$(MAKE) -s BUILD=asan all
	@$(MAKE) -s BUILD=tsan all
	@for d in $(LIBS) gspard regress/unit; do \
	    $(MAKE) -s -C $$d BUILD=ablation || exit 1; done
	@bash regress/run.sh

# Runs one seed of the soak: make soak SEED=7 SECS=60 HOSTS=5
SEED ?=		1
SECS ?=		20
HOSTS ?=	4
soak: all
	@bash regress/soak/run.sh $(SEED) $(SEED) $(SECS) hosts=$(HOSTS)

# Fuzzes the parsers of external input, guided by coverage: make fuzz SECS=60
fuzz: deps
	@sh regress/fuzz.sh $(SECS)

demo: all
	@bash regress/demo.sh

bench: all
	@bash bench/run.sh

format:
	clang-format -i $(filter-out proto/%,$(wildcard */*.[ch] regress/*/*.[ch]))

clean:
	rm -rf build target

.PHONY: fleet ablation soak $(PROGS) $(TESTS) all progs deps check demo bench fuzz format clean
