#include <stdlib.h>

#include "frame.h"

/* Encodes a frame with its header into b, which the caller frees.  Returns 0,
 * or -1 if it is too large or out of memory. */
int
frame_pack(struct bytes *b, const Gspar__Frame *f)
{
	size_t n;

	n = gspar__frame__get_packed_size(f);
	if (n > FRAME_MAX)
		return (-1);
	b->p = malloc(FRAME_HEADER_SIZE + n);
	if (b->p == NULL)
		return (-1);
	b->n = FRAME_HEADER_SIZE + n;
	b->p[0] = (uint8_t)(n >> 24);
	b->p[1] = (uint8_t)(n >> 16);
	b->p[2] = (uint8_t)(n >> 8);
	b->p[3] = (uint8_t)n;
	gspar__frame__pack(f, b->p + FRAME_HEADER_SIZE);
	return (0);
}

/* Reads the payload size from a header.  Returns 0, or -1 if it is invalid. */
int
frame_size(const uint8_t *h, size_t *n)
{
	*n = (size_t)h[0] << 24 | (size_t)h[1] << 16 | (size_t)h[2] << 8 | h[3];
	return (*n == 0 || *n > FRAME_MAX ? -1 : 0);
}

/* Decodes a payload.  Returns NULL if it is malformed or of unknown type. */
Gspar__Frame *
frame_unpack(const uint8_t *p, size_t n)
{
	Gspar__Frame *f;

	f = gspar__frame__unpack(NULL, n, p);
	if (f != NULL && f->body_case == GSPAR__FRAME__BODY__NOT_SET) {
		frame_free(f);
		return (NULL);
	}
	return (f);
}

/* Frees a frame that frame_unpack returned. */
void
frame_free(Gspar__Frame *f)
{
	if (f != NULL)
		gspar__frame__free_unpacked(f, NULL);
}

/* True for frames that count as control traffic. */
int
frame_is_control(const Gspar__Frame *f)
{
	switch (f->body_case) {
	case GSPAR__FRAME__BODY_REQUEST:
	case GSPAR__FRAME__BODY_ANSWER:
	case GSPAR__FRAME__BODY_CANCEL:
		return (0);
	default:
		return (1);
	}
}

/* True for frames with state of the sender, which it repeats until they are
 * acknowledged. */
int
frame_is_state(const Gspar__Frame *f)
{
	switch (f->body_case) {
	case GSPAR__FRAME__BODY_OWNERS:
	case GSPAR__FRAME__BODY_FLEET_TOLD:
	case GSPAR__FRAME__BODY_SITE_TOLD:
		return (1);
	default:
		return (0);
	}
}
