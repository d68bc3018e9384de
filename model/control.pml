/*
 * Control of one cell in discrete time: the platform's record, a holder H,
 * its listed standby S, a standby T that H may list instead, a host X that is
 * not listed, and a dispatcher D that serves a shard under a lease from H.
 *
 * Any process may do nothing for as long as it likes (a pause, a cut, an
 * outage, a lost answer are all "nothing more happens"); time goes on.
 *
 * Three configurations keep the search small: with T, (-DWITH_X) with X, or
 * (-DWITH_LEFT) with X and a standby that may stop for good.
 *
 * The claim: once a taker counts D's lease as lapsed and gives the shard to
 * another ("moved"), D no longer serves.  Each -D below takes out one
 * safeguard; model/control.sh shows that each is needed.
 */
#ifdef WITH_LEFT
#define WITH_X
#endif
#define L 2	/* control lease, promises */
#define HL 2	/* host lease */
#define LL 4	/* the promise of a standby that stops for good */
/* Versions of the record in one run. */
#if defined(WITH_X) && !defined(WITH_LEFT)
#define PUTS 4
#else
#define PUTS 3
#endif

#define NONE 0
#define H 1
#define S 2
#define T 3
#define X 4

/* The record. */
byte ver = 1, holder = H, list = S;

/* H: its lease and what it has in flight. */
byte h_lease = L, h_prom_s, h_prom_t;
bool h_stopped;			/* knows that it is not holder, or resigned */
byte h_ver = 1, h_list = S;	/* as H last knew them */
byte put = 0;			/* 0 none, 1 sent, 2 took effect */
byte put_age, put_base, put_list;
bool put_resign;

/* Promises on their way: 0 none, 1 asked, 2 answered, 3 by one that stops. */
byte ask_s, ask_s_age, ask_t, ask_t_age;

/* S, T, X: record as read, for how long unchanged, promise, own write. */
byte s_ver, s_unch, s_prom, t_ver, t_unch, t_prom, x_ver, x_unch;
bool s_put, t_put, x_put, s_gone, t_gone, s_left, t_left;
byte s_base, t_base, x_base, x_from;
byte wait_settle;		/* taker: until it may count lapses */
byte taker = NONE;
bool x_waits, moved;

/* D: asks H, H has checked, D hears. */
byte d_ask, d_ask_age, d_lease = HL;

#ifdef SINGLE_LIST
#define PROMISED ((h_list == S && h_prom_s) || (h_list == T && h_prom_t))
#else
#define PROMISED (((h_list == S && h_prom_s) || (h_list == T && h_prom_t)) && \
    (put == 0 || (put_list == S && h_prom_s) || (put_list == T && h_prom_t)))
#endif
#ifdef RESIGN_RENEWS
#define MAY_RENEW (!h_stopped && (h_lease || PROMISED))
#else
#define MAY_RENEW (!h_stopped && !(put && put_resign) && (h_lease || PROMISED))
#endif

#define DEC(t) if :: t > 0 -> t-- :: else fi
#define INC(t, m) if :: t < m -> t++ :: else fi

#define AGED(on, t) if :: on && t < AGE -> t++ :: else fi

/* Longest that any age matters. */
#ifdef WITH_LEFT
#define AGE 4
#else
#define AGE 2
#endif

/* The claim, looked at in every state by the search. */
proctype Claim()
{
	atomic { moved && d_lease > 0 -> assert(false) }
}

#ifdef WITH_X
#define AGING INC(s_unch, L); INC(x_unch, L)
#else
#define AGING INC(t_unch, L)
#endif

proctype Clock()
{
	do
	:: d_step {
		DEC(h_lease); DEC(h_prom_s); DEC(h_prom_t);
		DEC(s_prom); DEC(t_prom); DEC(d_lease); DEC(wait_settle);
		AGED(put, put_age); AGED(ask_s, ask_s_age);
		AGED(ask_t, ask_t_age); AGED(d_ask, d_ask_age);
		if :: taker == NONE -> AGING
		:: else -> s_unch = 0; t_unch = 0; x_unch = 0 fi
	   }
	od
}

/* What is left of a span counted from asking. */
#define LEFT(span, age) (age < span -> span - age : 0)

proctype Holder()
{
	do
	/* Renew, perhaps changing the list, perhaps giving control back. */
	:: atomic { !h_stopped && put == 0 && ver < PUTS ->
		put = 1; put_age = 0; put_base = h_ver; put_resign = false;
		if :: put_list = h_list
#ifndef WITH_X
		:: put_list = S + T - h_list
#endif
#if defined(WITH_X) && !defined(WITH_LEFT)
		:: put_list = h_list; put_resign = true
#endif
		fi }
	:: atomic { put == 1 && ver == put_base && ver < PUTS ->
		ver++; list = put_list; put = 2;
		if :: put_resign -> holder = NONE :: else fi }
	/* The answer; without it the write stays open. */
	:: atomic { put == 2 ->
		put = 0; h_ver = put_base + 1; h_list = put_list;
		put_base = 0;
		if :: put_resign -> h_stopped = true
		:: else ->
#ifdef LEASE_FROM_ANSWER
			h_lease = L
#else
			h_lease = LEFT(L, put_age)
#endif
		fi;
		put_age = 0; put_list = 0; put_resign = false }
	/* A read tells that another holds it. */
	:: atomic { !h_stopped && holder != H && holder != NONE -> h_stopped = true }
	/* Ask for promises. */
	:: atomic { !h_stopped && ask_s == 0 -> ask_s = 1; ask_s_age = 0 }
#ifndef WITH_X
	:: atomic { !h_stopped && ask_t == 0 -> ask_t = 1; ask_t_age = 0 }
#endif
	:: atomic { ask_s == 2 -> ask_s = 0;
#ifdef PROMISE_FROM_ARRIVAL
		h_prom_s = L
#else
		h_prom_s = LEFT(L, ask_s_age)
#endif
		; ask_s_age = 0
	   }
	/* What a standby that stops promised; never less than what it had. */
	:: atomic { ask_s == 3 -> ask_s = 0;
		if :: LEFT(LL, ask_s_age) > h_prom_s ->
			h_prom_s = LEFT(LL, ask_s_age) :: else fi;
		ask_s_age = 0 }
	:: atomic { ask_t == 2 -> ask_t = 0; h_prom_t = LEFT(L, ask_t_age);
		ask_t_age = 0 }
	/* Check, then give D its lease some time later. */
	:: atomic { d_ask == 1 && MAY_RENEW -> d_ask = 2 }
	od
}

proctype Dispatcher()
{
	do
	:: atomic { d_ask == 0 -> d_ask = 1; d_ask_age = 0 }
	:: atomic { d_ask == 2 -> d_ask = 0;
#ifdef HOST_LEASE_FROM_ANSWER
		d_lease = HL
#else
		if :: LEFT(HL, d_ask_age) > d_lease -> d_lease = LEFT(HL, d_ask_age)
		:: else fi
#endif
		; d_ask_age = 0
	   }
	/* What was asked is lost. */
	:: atomic { d_ask == 1 -> d_ask = 0; d_ask_age = 0 }
	od
}

#ifdef NO_SETTLE
#define SETTLE 0
#else
#define SETTLE HL
#endif

/* A standby: n its letter. */
#define STANDBY(me, n_ver, n_unch, n_prom, n_put, n_base, n_gone, n_left, n_ask, n_ask_age) \
	do									\
	:: atomic { n_ver != ver && taker == NONE ->				\
		n_ver = ver; n_unch = 0 }					\
	:: atomic { n_ask == 1 && !n_left && CAN_PROMISE(n_put, n_gone) ->	\
		n_ask = 2; n_prom = L }						\
	:: atomic { n_ask == 1 && n_left && CAN_PROMISE(n_put, n_gone) ->	\
		n_ask = 3 }							\
	:: atomic { MAY_LEAVE && !n_left && !n_put && taker != me -> n_left = true }	\
	:: atomic { n_ask == 1 -> n_ask = 0; n_ask_age = 0 }			\
	:: atomic { taker == NONE && !n_put && STAYS(n_left) &&			\
		n_ver == ver && list == me &&					\
		((n_unch == L && PROMISE_OVER(n_prom)) || holder == NONE) ->	\
		n_put = true; n_base = n_ver }					\
	:: atomic { n_put && taker == NONE && ver == n_base ->			\
		ver++; holder = me; taker = me; wait_settle = SETTLE }		\
	:: atomic { n_put && ver != n_base && taker != me -> n_put = false }	\
	:: atomic { taker == me && wait_settle == 0 -> moved = true }		\
	od

/* One that stops never takes control again. */
#ifdef LEFT_TAKES
#define STAYS(l) (true)
#else
#define STAYS(l) (!l)
#endif
#ifdef WITH_LEFT
#define MAY_LEAVE (true)
#else
#define MAY_LEAVE (false)
#endif
#ifdef UNRESOLVED_PROMISES
#define CAN_PROMISE(p, g) (!g)
#else
#define CAN_PROMISE(p, g) (!p && !g)
#endif
#ifdef NO_PROMISE_WAIT
#define PROMISE_OVER(p) (true)
#else
#define PROMISE_OVER(p) (p == 0)
#endif

/* With T about, S only promises: its taking over is searched with X. */
proctype StandbyS()
{
#ifdef WITH_X
	STANDBY(S, s_ver, s_unch, s_prom, s_put, s_base, s_gone, s_left, ask_s, ask_s_age)
#else
	do
	:: atomic { ask_s == 1 -> ask_s = 2 }
	:: atomic { ask_s == 1 -> ask_s = 0; ask_s_age = 0 }
	od
#endif
}

proctype StandbyT()
{
	STANDBY(T, t_ver, t_unch, t_prom, t_put, t_base, t_gone, t_left, ask_t, ask_t_age)
}

#ifdef LEFT_NOT_WAITED
#define LEFT_OVER (L + HL)
#else
#define LEFT_OVER (LL + HL)
#endif
#ifdef WITHDRAWAL_AT_ONCE
#define WITHDRAWN HL
#else
#define WITHDRAWN (L + HL)
#endif

proctype Unlisted()
{
	do
	:: atomic { x_ver != ver && taker == NONE -> x_ver = ver; x_unch = 0 }
	:: atomic { taker == NONE && x_ver == ver && x_unch == L &&
		ver == x_ver ->
		x_from = list; ver++; holder = X; taker = X; x_waits = true;
		wait_settle = SETTLE }
	/* The listed standby withdraws: no more promises to H. */
	:: atomic { taker == X && x_waits && x_from == S && !s_left ->
		s_gone = true; x_waits = false; wait_settle = WITHDRAWN }
	/* It stopped, and says so or is replaced: it may have left a promise. */
	:: atomic { taker == X && x_waits && x_from == S && s_left ->
		s_gone = true; x_waits = false; wait_settle = LEFT_OVER }
	:: atomic { taker == X && x_waits && x_from == T ->
		t_gone = true; x_waits = false; wait_settle = WITHDRAWN }
#ifdef UNLISTED_BY_TIME
	:: atomic { taker == X && wait_settle == 0 -> moved = true }
#else
	:: atomic { taker == X && !x_waits && wait_settle == 0 -> moved = true }
#endif
	od
}

init
{
	atomic {
		s_ver = 0; t_ver = 0; x_ver = 0;
		run Claim(); run Clock(); run Holder(); run Dispatcher();
		run StandbyS();
#ifdef WITH_X
		run Unlisted()
#else
		run StandbyT()
#endif

	}
}


