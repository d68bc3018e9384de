/* Tests the datagrams that ask for permits. */
#include <string.h>

#include "frame.h"
#include "permit_frame.h"
#include "unit.h"

static uint8_t buf[PERMIT_FRAME_MAX];

/* Encodes a message and decodes it again. */
static int
send_and_receive(const struct permit_msg *m, struct permit_msg *out)
{
	return (permit_unpack(out, buf, permit_pack(m, buf, sizeof(buf))));
}

/* What one host writes, another reads. */
static void
round_trip(void)
{
	struct permit_msg m = {.kind = PERMIT_ASK,
	    .host = "h1",
	    .id = 7,
	    .service = "plain",
	    .target = "i-1",
	    .avoid = "i-2",
	    .rank = 1,
	    .no_wait = 1,
	    .left = MS(900),
	    .aim_left = MS(300),
	    .work = 41000};
	struct permit_msg out;

	CU_ASSERT(send_and_receive(&m, &out) == 0);
	CU_ASSERT(memcmp(&m, &out, sizeof(m)) == 0);
	memset(&m, 0, sizeof(m));
	m.kind = PERMIT_REPLY;
	strcpy(m.host, "h2");
	m.id = 8;
	m.verdict = ADMISSION_WAITS;
	m.wait = MS(40);
	CU_ASSERT(send_and_receive(&m, &out) == 0);
	CU_ASSERT(memcmp(&m, &out, sizeof(m)) == 0);
	memset(&m, 0, sizeof(m));
	m.kind = PERMIT_END;
	strcpy(m.host, "h1");
	strcpy(m.service, "plain");
	m.id = 8;
	m.answer.end = DEST_BROKEN;
	m.answer.took = 120000;
	m.answer.expected = 90000;
	m.answer.load.reported = 1;
	m.answer.load.running = 2;
	CU_ASSERT(send_and_receive(&m, &out) == 0);
	CU_ASSERT(memcmp(&m, &out, sizeof(m)) == 0);
}

/* The largest message fits into a datagram. */
static void
largest(void)
{
	struct permit_msg m = {.kind = PERMIT_ASK,
	    .id = UINT64_MAX,
	    .rank = ADMISSION_RANKS,
	    .no_wait = 1,
	    .left = INT64_MAX,
	    .aim_left = INT64_MAX,
	    .work = INT64_MAX};
	struct permit_msg out;

	memset(m.host, 'a', NAME_MAX_GS - 1);
	memset(m.service, 'b', NAME_MAX_GS - 1);
	memset(m.target, 'c', NAME_MAX_GS - 1);
	memset(m.avoid, 'd', NAME_MAX_GS - 1);
	CU_ASSERT(send_and_receive(&m, &out) == 0);
	CU_ASSERT_STRING_EQUAL(out.avoid, m.avoid);
	/* Times that have passed are no time at all. */
	m.left = m.aim_left = -MS(5);
	CU_ASSERT(send_and_receive(&m, &out) == 0);
	CU_ASSERT(out.left == 0 && out.aim_left == 0);
	CU_ASSERT(permit_pack(&m, buf, 100) == 0);
}

/* Guards against verdicts, outcomes and names that are not known. */
static void
malformed(void)
{
	struct permit_msg m = {.kind = PERMIT_REPLY,
	    .host = "h1",
	    .verdict = (enum admission_verdict)9};
	struct permit_msg out;

	CU_ASSERT(send_and_receive(&m, &out) == -1);
	m.verdict = ADMISSION_REFUSED;
	CU_ASSERT(send_and_receive(&m, &out) == 0);
	m.host[0] = '\0';
	CU_ASSERT(send_and_receive(&m, &out) == -1);
	strcpy(m.host, "h1");
	m.kind = PERMIT_END;
	strcpy(m.service, "not a name");
	CU_ASSERT(send_and_receive(&m, &out) == -1);
	m.service[0] = '\0';
	m.answer.end = (enum dest_end)(DEST_NOT_SENT + 1);
	CU_ASSERT(send_and_receive(&m, &out) == -1);
	CU_ASSERT(permit_unpack(&out, buf, 0) == -1);
	CU_ASSERT(permit_unpack(&out, (const uint8_t *)"\xff\xff", 2) == -1);
}

static const struct unit_test tests[] = {
    {"round trip", round_trip},
    {"largest", largest},
    {"malformed", malformed},
};

UNIT_MAIN("permit frame", tests)
