#include <stdio.h>
#include <stdlib.h>

#include "hist.h"
#include "metrics.h"

/* Formats all counters and histograms; the caller frees the text. */
char *
metrics_text(struct kernel *k)
{
	static const char *const rings[] = {"door", "router", "peer",
	    "dispatch", "control", "platform", "watch"};
	struct service *v;
	struct str out = {NULL, 0};
	char line[300];
	size_t i;
	int c, n;

	for (c = 0; c < COUNT_N; c++) {
		n = snprintf(line, sizeof(line),
		    "# HELP gspar_%s_total %s.\n# TYPE gspar_%s_total counter\n"
		    "gspar_%s_total %llu\n",
		    count_name(c), count_help(c), count_name(c), count_name(c),
		    (unsigned long long)count_get(c));
		str_add(&out, line, (size_t)n);
	}
	for (i = 0; i < sizeof(rings) / sizeof(rings[0]); i++) {
		if ((v = kernel_find(k, rings[i])) == NULL)
			continue;
		n = snprintf(line, sizeof(line),
		    "gspar_ring_refused_total{ring=\"%s\"} %llu\n", rings[i],
		    (unsigned long long)ring_refused(v->in));
		str_add(&out, line, (size_t)n);
	}
	hist_print(&out);
	return (out.p);
}
