# Rules shared by all directories: set PROG, LIB or PROGS, SRCS and NEED, then
# include this file.  BUILD=asan and BUILD=tsan build with a sanitizer,
# BUILD=ablation with the switches of lib/feature.h.
CC =		cc
BUILD ?=	plain
SAN_plain =
SAN_asan =	-fsanitize=address,undefined,float-cast-overflow -fno-omit-frame-pointer
SAN_tsan =	-fsanitize=thread
SAN_ablation =	-DABLATION
TOP :=		$(dir $(lastword $(MAKEFILE_LIST)))
OBJ =		$(TOP)build/$(BUILD)/$(notdir $(CURDIR))
PKGS =		apr-1 apr-util-1 libprotobuf-c libmicrohttpd libcurl jansson \
		libxxhash
CFLAGS +=	-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Wshadow \
		-Wstrict-prototypes -Wmissing-prototypes -Wpointer-arith \
		-Wno-unused-parameter $(SAN_$(BUILD)) \
		-I$(TOP)lib -I$(TOP)decide -I$(TOP)proto \
		$(shell pkg-config --cflags $(PKGS))
LIBDIR =	$(TOP)build/$(BUILD)
NEED ?=		decide lib proto
LDLIBS +=	$(foreach l,$(NEED),$(LIBDIR)/lib$(l).a) \
		$(shell pkg-config --libs $(PKGS)) -linih -lpthread -lm
OBJS =		$(SRCS:%.c=$(OBJ)/%.o)

ifdef LIB
all: $(LIBDIR)/$(LIB)
$(LIBDIR)/$(LIB): $(OBJS)
	@rm -f $@
	ar rcs $@ $(OBJS)
endif
ifdef PROG
all: $(OBJ)/$(PROG)
$(OBJ)/$(PROG): $(OBJS) $(foreach l,$(NEED),$(LIBDIR)/lib$(l).a)
	$(CC) $(CFLAGS) -o $@ $(OBJS) $(LDLIBS)
endif
ifdef PROGS
all: $(PROGS:%=$(OBJ)/%)
$(PROGS:%=$(OBJ)/%): $(OBJ)/%: $(OBJ)/%.o $(COMMON:%.c=$(OBJ)/%.o) \
    $(foreach l,$(NEED),$(LIBDIR)/lib$(l).a)
	$(CC) $(CFLAGS) -o $@ $< $(COMMON:%.c=$(OBJ)/%.o) $(LDLIBS)
.PRECIOUS: $(OBJ)/%.o
endif

$(OBJ)/%.o: %.c | $(OBJ)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<
$(OBJ):
	@mkdir -p $@
# A removed header must not stop a build whose dependency files still list it.
%.h: ;
-include $(wildcard $(OBJ)/*.d)
