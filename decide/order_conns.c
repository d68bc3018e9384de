#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "order_conns.h"

/* Tokens for which a connection has room at first; a power of two. */
#define INITIAL_TOKENS 8

/* Forgets all connections. */
static void
forget(struct order_conns *l)
{
	while (l->n > 0)
		free(l->list[--l->n].tokens);
	hash_index_clear(&l->index);
}

/* Frees what is remembered of connections. */
void
order_conns_free(struct order_conns *l)
{
	forget(l);
	free(l->list);
	hash_index_free(&l->index);
	memset(l, 0, sizeof(*l));
}

/* Returns the digest of a connection. */
static uint64_t
conn_digest(const struct order_answer *a)
{
	return (XXH3_64bits_withSeed(&a->port, sizeof(a->port), a->addr));
}

/* Returns what is remembered of a connection, or NULL. */
static struct order_conn *
find(const struct order_conns *l, uint64_t digest)
{
	int i = hash_index_first(&l->index, digest);

	return (i < 0 ? NULL : &l->list[i]);
}

/* Makes room for another connection; 0, or -1 if memory runs out. */
static int
reserve(struct order_conns *l)
{
	struct order_conn *list;

	if (l->n == ORDER_CONNS_MAX)
		forget(l);
	list = hash_index_grow(
	    &l->index, l->list, sizeof(*list), l->n, &l->capacity);
	if (list == NULL)
		return (-1);
	l->list = list;
	return (0);
}

/* Remembers a connection that was opened, and returns it; NULL if memory runs
 * out. */
static struct order_conn *
opened(struct order_conns *l, uint64_t digest)
{
	struct order_conn *c = find(l, digest);

	if (c == NULL) {
		if (reserve(l) != 0)
			return (NULL);
		c = &l->list[l->n];
		memset(c, 0, sizeof(*c));
		hash_index_add(&l->index, l->n++, digest);
	}
	c->ntokens = 0;
	return (c);
}

/* True if the token may have come on the connection before. */
static int
may_have_come(const struct order_conn *c, uint64_t token)
{
	int i;

	if (c == NULL || c->ntokens > ORDER_TOKENS_MAX)
		return (1);
	for (i = 0; i < c->ntokens; i++) {
		if (c->tokens[i] == token)
			return (1);
	}
	return (0);
}

/* Makes room for another token; 0, or -1 if there are too many or memory runs
 * out. */
static int
grow_tokens(struct order_conn *c)
{
	int capacity = c->capacity == 0 ? INITIAL_TOKENS : 2 * c->capacity;
	uint64_t *tokens;

	if (c->ntokens < c->capacity)
		return (0);
	if (capacity > ORDER_TOKENS_MAX)
		return (-1);
	tokens = realloc(c->tokens, sizeof(*tokens) * (size_t)capacity);
	if (tokens == NULL)
		return (-1);
	c->tokens = tokens;
	c->capacity = capacity;
	return (0);
}

/* Remembers that a token has come. */
static void
add_token(struct order_conn *c, uint64_t token)
{
	if (c->ntokens > ORDER_TOKENS_MAX || grow_tokens(c) != 0)
		c->ntokens = ORDER_TOKENS_MAX + 1;
	else
		c->tokens[c->ntokens++] = token;
}

/*
 * Returns true if the answer that came where one is due is certain to be that
 * to the order sent last on its connection, and remembers its token.  One that
 * is not leaves the connection out of step, so that it has to be closed.  The
 * answer to a grant cannot be told from a second one to an earlier grant: what
 * that decides is which keys the target is sent requests for, which it refuses
 * if it does not hold them.
 */
int
order_answer_is_own(struct order_conns *l, const struct order_answer *a)
{
	uint64_t digest = conn_digest(a);
	struct order_conn *c =
	    a->new_conn ? opened(l, digest) : find(l, digest);

	if (a->id == ANSWER_ID_OTHER)
		return (0);
	if (a->id == ANSWER_ID_NONE && !a->new_conn &&
	    (a->release ? a->token == 0 || may_have_come(c, a->token)
			: a->token != 0))
		return (0);
	if (a->token != 0 && c != NULL)
		add_token(c, a->token);
	return (1);
}
