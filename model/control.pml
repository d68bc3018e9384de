/*
 * Model of the control of one cell in discrete time: the control record in the
 * platform's store, a holder H, its listed standby S, a standby T that H may
 * list instead, a host X that is not listed, and a dispatcher D that serves a
 * shard under a lease from H.
 *
 * Each process may be idle for any time, which covers pauses, network
 * partitions, outages and lost replies.  Time goes on.
 *
 * Three configurations keep the search small: with T, with X (-DWITH_X), or
 * with X and a standby that may stop for good (-DWITH_STOP).
 *
 * The property: once a successor takes D's lease as lapsed and gives the shard
 * to another dispatcher ("moved"), D no longer serves.  Each other -D below
 * removes one safeguard; model/control.sh shows that each is needed.
 */
#ifdef WITH_STOP
#define WITH_X
#endif
#define CONTROL_LEASE 2	/* of the holder; also the duration of a promise */
#define HOST_LEASE 2	/* of a dispatcher */
#define FINAL_PROMISE 4	/* of a standby that stops for good */
/* Number of the last version of the record in one run. */
#if defined(WITH_X) && !defined(WITH_STOP)
#define PUTS 4
#else
#define PUTS 3
#endif

#define NONE 0
#define H 1
#define S 2
#define T 3
#define X 4

/* The control record. */
byte version = 1, holder = H, listed = S;

/* H: its lease, the promises that it holds, and its pending write. */
byte h_lease = CONTROL_LEASE, h_promise_s, h_promise_t;
bool h_stopped;			/* knows that it lost or released control */
byte h_version = 1, h_listed = S;	/* as H last knew the record */
byte put = 0;			/* 0 none, 1 sent, 2 took effect */
byte put_age, put_base, put_listed;
bool put_release;

/*
 * Promise requests: 0 none, 1 sent, 2 answered, 3 answered by a standby that
 * stops.
 */
byte req_s, req_s_age, req_t, req_t_age;

/*
 * S, T, X: the version last read and for how long it has been unchanged, the
 * promise given, and the pending write with the version that it replaces.
 * x_previous is the standby that was listed before X took control.
 */
byte s_version, s_unchanged, s_promise, t_version, t_unchanged, t_promise;
byte x_version, x_unchanged;
bool s_put, t_put, x_put, s_withdrawn, t_withdrawn, s_stopping, t_stopping;
byte s_base, t_base, x_base, x_previous;
byte lapse_wait;		/* time until earlier leases have lapsed */
byte successor = NONE;
bool x_waiting, moved;

/* D: lease request, 0 none, 1 sent, 2 granted by H; and its lease. */
byte d_req, d_req_age, d_lease = HOST_LEASE;

#ifdef SINGLE_LIST
#define HAS_PROMISE ((h_listed == S && h_promise_s) || (h_listed == T && h_promise_t))
#else
#define HAS_PROMISE (((h_listed == S && h_promise_s) || (h_listed == T && h_promise_t)) && \
    (put == 0 || (put_listed == S && h_promise_s) || (put_listed == T && h_promise_t)))
#endif
#ifdef RELEASE_RENEWS
#define MAY_RENEW (!h_stopped && (h_lease || HAS_PROMISE))
#else
#define MAY_RENEW (!h_stopped && !(put && put_release) && (h_lease || HAS_PROMISE))
#endif

#define DEC(t) if :: t > 0 -> t-- :: else fi
#define INC(t, m) if :: t < m -> t++ :: else fi

#define INC_AGE(on, t) if :: on && t < AGE -> t++ :: else fi

/* The largest age that makes a difference. */
#ifdef WITH_STOP
#define AGE 4
#else
#define AGE 2
#endif

/* The property, checked in every state. */
proctype Property()
{
	atomic { moved && d_lease > 0 -> assert(false) }
}

#ifdef WITH_X
#define INC_UNCHANGED INC(s_unchanged, CONTROL_LEASE); INC(x_unchanged, CONTROL_LEASE)
#else
#define INC_UNCHANGED INC(t_unchanged, CONTROL_LEASE)
#endif

proctype Clock()
{
	do
	:: d_step {
		DEC(h_lease); DEC(h_promise_s); DEC(h_promise_t);
		DEC(s_promise); DEC(t_promise); DEC(d_lease); DEC(lapse_wait);
		INC_AGE(put, put_age); INC_AGE(req_s, req_s_age);
		INC_AGE(req_t, req_t_age); INC_AGE(d_req, d_req_age);
		if :: successor == NONE -> INC_UNCHANGED
		:: else -> s_unchanged = 0; t_unchanged = 0; x_unchanged = 0 fi
	   }
	od
}

/* Remaining time of a span that is counted from the request. */
#define REMAINING(span, age) (age < span -> span - age : 0)

proctype Holder()
{
	do
	/* Renew, possibly list another standby or release control. */
	:: atomic { !h_stopped && put == 0 && version < PUTS ->
		put = 1; put_age = 0; put_base = h_version; put_release = false;
		if :: put_listed = h_listed
#ifndef WITH_X
		:: put_listed = S + T - h_listed
#endif
#if defined(WITH_X) && !defined(WITH_STOP)
		:: put_listed = h_listed; put_release = true
#endif
		fi }
	:: atomic { put == 1 && version == put_base && version < PUTS ->
		version++; listed = put_listed; put = 2;
		if :: put_release -> holder = NONE :: else fi }
	/* The reply; without it the write stays pending. */
	:: atomic { put == 2 ->
		put = 0; h_version = put_base + 1; h_listed = put_listed;
		put_base = 0;
		if :: put_release -> h_stopped = true
		:: else ->
#ifdef LEASE_FROM_REPLY
			h_lease = CONTROL_LEASE
#else
			h_lease = REMAINING(CONTROL_LEASE, put_age)
#endif
		fi;
		put_age = 0; put_listed = 0; put_release = false }
	/* A read shows another holder. */
	:: atomic { !h_stopped && holder != H && holder != NONE -> h_stopped = true }
	/* Request promises. */
	:: atomic { !h_stopped && req_s == 0 -> req_s = 1; req_s_age = 0 }
#ifndef WITH_X
	:: atomic { !h_stopped && req_t == 0 -> req_t = 1; req_t_age = 0 }
#endif
	:: atomic { req_s == 2 -> req_s = 0;
#ifdef PROMISE_FROM_ARRIVAL
		h_promise_s = CONTROL_LEASE
#else
		h_promise_s = REMAINING(CONTROL_LEASE, req_s_age)
#endif
		; req_s_age = 0
	   }
	/* A final promise never shortens an earlier one. */
	:: atomic { req_s == 3 -> req_s = 0;
		if :: REMAINING(FINAL_PROMISE, req_s_age) > h_promise_s ->
			h_promise_s = REMAINING(FINAL_PROMISE, req_s_age) :: else fi;
		req_s_age = 0 }
	:: atomic { req_t == 2 -> req_t = 0; h_promise_t = REMAINING(CONTROL_LEASE, req_t_age);
		req_t_age = 0 }
	/* Check now; D receives its lease some time later. */
	:: atomic { d_req == 1 && MAY_RENEW -> d_req = 2 }
	od
}

proctype Dispatcher()
{
	do
	:: atomic { d_req == 0 -> d_req = 1; d_req_age = 0 }
	:: atomic { d_req == 2 -> d_req = 0;
#ifdef HOST_LEASE_FROM_REPLY
		d_lease = HOST_LEASE
#else
		if :: REMAINING(HOST_LEASE, d_req_age) > d_lease ->
			d_lease = REMAINING(HOST_LEASE, d_req_age)
		:: else fi
#endif
		; d_req_age = 0
	   }
	/* The request is lost. */
	:: atomic { d_req == 1 -> d_req = 0; d_req_age = 0 }
	od
}

#ifdef NO_LAPSE_WAIT
#define LAPSE_WAIT 0
#else
#define LAPSE_WAIT HOST_LEASE
#endif

/* A standby; n_ stands for the prefix of its variables. */
#define STANDBY(me, n_version, n_unchanged, n_promise, n_put, n_base,		\
    n_withdrawn, n_stopping, n_req, n_req_age)					\
	do									\
	:: atomic { n_version != version && successor == NONE ->		\
		n_version = version; n_unchanged = 0 }				\
	:: atomic { n_req == 1 && !n_stopping && CAN_PROMISE(n_put, n_withdrawn) ->\
		n_req = 2; n_promise = CONTROL_LEASE }				\
	:: atomic { n_req == 1 && n_stopping && CAN_PROMISE(n_put, n_withdrawn) ->\
		n_req = 3 }							\
	:: atomic { MAY_STOP && !n_stopping && !n_put && successor != me -> n_stopping = true }\
	:: atomic { n_req == 1 -> n_req = 0; n_req_age = 0 }			\
	:: atomic { successor == NONE && !n_put && CAN_TAKE_CONTROL(n_stopping) &&\
		n_version == version && listed == me &&				\
		((n_unchanged == CONTROL_LEASE && PROMISE_OVER(n_promise)) || holder == NONE) ->\
		n_put = true; n_base = n_version }				\
	:: atomic { n_put && successor == NONE && version == n_base ->		\
		version++; holder = me; successor = me; lapse_wait = LAPSE_WAIT }\
	:: atomic { n_put && version != n_base && successor != me -> n_put = false }\
	:: atomic { successor == me && lapse_wait == 0 -> moved = true }	\
	od

/* A standby that stops never takes control again. */
#ifdef STOPPED_TAKES_CONTROL
#define CAN_TAKE_CONTROL(l) (true)
#else
#define CAN_TAKE_CONTROL(l) (!l)
#endif
#ifdef WITH_STOP
#define MAY_STOP (true)
#else
#define MAY_STOP (false)
#endif
#ifdef PROMISES_DURING_WRITE
#define CAN_PROMISE(p, g) (!g)
#else
#define CAN_PROMISE(p, g) (!p && !g)
#endif
#ifdef NO_PROMISE_WAIT
#define PROMISE_OVER(p) (true)
#else
#define PROMISE_OVER(p) (p == 0)
#endif

/* In the configuration with T, S only promises; with X it may take control. */
proctype StandbyS()
{
#ifdef WITH_X
	STANDBY(S, s_version, s_unchanged, s_promise, s_put, s_base, s_withdrawn,
	    s_stopping, req_s, req_s_age)
#else
	do
	:: atomic { req_s == 1 -> req_s = 2 }
	:: atomic { req_s == 1 -> req_s = 0; req_s_age = 0 }
	od
#endif
}

proctype StandbyT()
{
	STANDBY(T, t_version, t_unchanged, t_promise, t_put, t_base, t_withdrawn,
	    t_stopping, req_t, req_t_age)
}

#ifdef FINAL_PROMISE_NOT_WAITED
#define FINAL_WAIT (CONTROL_LEASE + HOST_LEASE)
#else
#define FINAL_WAIT (FINAL_PROMISE + HOST_LEASE)
#endif
#ifdef WITHDRAWAL_AT_ONCE
#define WITHDRAWAL_WAIT HOST_LEASE
#else
#define WITHDRAWAL_WAIT (CONTROL_LEASE + HOST_LEASE)
#endif

proctype Unlisted()
{
	do
	:: atomic { x_version != version && successor == NONE ->
		x_version = version; x_unchanged = 0 }
	:: atomic { successor == NONE && x_version == version && x_unchanged == CONTROL_LEASE &&
		version == x_version ->
		x_previous = listed; version++; holder = X; successor = X; x_waiting = true;
		lapse_wait = LAPSE_WAIT }
	/* The listed standby withdraws: it promises H nothing more. */
	:: atomic { successor == X && x_waiting && x_previous == S && !s_stopping ->
		s_withdrawn = true; x_waiting = false; lapse_wait = WITHDRAWAL_WAIT }
	/* It stopped, and reports that or is replaced: its final promise may last. */
	:: atomic { successor == X && x_waiting && x_previous == S && s_stopping ->
		s_withdrawn = true; x_waiting = false; lapse_wait = FINAL_WAIT }
	:: atomic { successor == X && x_waiting && x_previous == T ->
		t_withdrawn = true; x_waiting = false; lapse_wait = WITHDRAWAL_WAIT }
#ifdef UNLISTED_BY_TIME
	:: atomic { successor == X && lapse_wait == 0 -> moved = true }
#else
	:: atomic { successor == X && !x_waiting && lapse_wait == 0 -> moved = true }
#endif
	od
}

init
{
	atomic {
		s_version = 0; t_version = 0; x_version = 0;
		run Property(); run Clock(); run Holder(); run Dispatcher();
		run StandbyS();
#ifdef WITH_X
		run Unlisted()
#else
		run StandbyT()
#endif

	}
}
