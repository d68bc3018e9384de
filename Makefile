# make          build everything
# make check    set up, build, lint and run every test
# make soak     play a seed of the fault soak: SEED, SECS, HOSTS
# make fuzz     fuzz the readers of bytes from outside: SECS a reader
# make demo     start a small fleet, serve requests through it, stop it
# make bench    run the measurements that docs/CAPACITY-NATIVE.md cites
SHELL =		/bin/bash
LIBS =		proto lib decide platform
PROGS =		gspard gsparctl standin
TESTS =		regress/unit regress/scenario
BUILD ?=	plain

all: deps
	@for d in $(LIBS); do $(MAKE) -s -C $$d BUILD=$(BUILD) || exit 1; done
	@$(MAKE) -s -j4 progs

# The daemon alone, for the machines of the platform: target/gspard.
fleet:
	@for d in $(LIBS) gspard; do \
	    $(MAKE) -s -C $$d BUILD=$(BUILD) || { \
		echo "Where a header is missing: make deps installs it." >&2; \
		exit 1; \
	    }; done
	@mkdir -p target
	@cp build/$(BUILD)/gspard/gspard target/.gspard.new
	@mv -f target/.gspard.new target/gspard

# The daemon with switches, to measure what a mechanism is worth.
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

# One seed of the soak: make soak SEED=7 SECS=60 HOSTS=5
SEED ?=		1
SECS ?=		20
HOSTS ?=	4
soak: all
	@bash regress/soak/run.sh $(SEED) $(SEED) $(SECS) hosts=$(HOSTS)

# The readers of bytes from outside, guided by coverage: make fuzz SECS=60
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
