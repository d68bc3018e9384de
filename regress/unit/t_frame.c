/* Encoding and decoding of frames; malformed input is rejected. */
#include <stdlib.h>
#include <string.h>

#include "frame.h"
#include "unit.h"

static void
round_trip(void)
{
	Gspar__Frame f = GSPAR__FRAME__INIT, *g;
	Gspar__Cancel c = GSPAR__CANCEL__INIT;
	struct bytes b;
	size_t n;

	c.corr = 0x123456789abcdefULL;
	f.body_case = GSPAR__FRAME__BODY_CANCEL;
	f.cancel = &c;
	CU_ASSERT_EQUAL_FATAL(frame_pack(&b, &f), 0);
	CU_ASSERT_EQUAL(frame_size(b.p, &n), 0);
	CU_ASSERT_EQUAL(n + FRAME_HEADER_SIZE, b.n);
	g = frame_unpack(b.p + FRAME_HEADER_SIZE, n);
	CU_ASSERT_PTR_NOT_NULL_FATAL(g);
	CU_ASSERT_EQUAL(g->cancel->corr, c.corr);
	CU_ASSERT(!frame_is_control(g));
	frame_free(g);
	free(b.p);
}

/* Random bytes are decoded or rejected, never a crash; run with sanitizers. */
static void
garbage(void)
{
	uint8_t buf[64];
	Gspar__Frame *f;
	size_t n;
	int i, k;

	CU_ASSERT_EQUAL(frame_size((const uint8_t *)"\0\0\0\0", &n), -1);
	CU_ASSERT_EQUAL(frame_size((const uint8_t *)"\377\0\0\0", &n), -1);
	CU_ASSERT_PTR_NULL(frame_unpack((const uint8_t *)"", 0));
	srandom(1);
	for (i = 0; i < 20000; i++) {
		for (k = 0; k < 64; k++)
			buf[k] = (uint8_t)random();
		f = frame_unpack(buf, (size_t)(i % 64));
		frame_free(f);
	}
}

static const struct unit_test tests[] = {
    {"round trip", round_trip}, {"garbage", garbage}};
UNIT_MAIN("frame", tests)
