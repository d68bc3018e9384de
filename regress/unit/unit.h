/* Runs the unit tests of one module with CUnit. */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>

struct unit_test {
	const char *name;
	CU_TestFunc fn;
};

/* Runs the tests.  Returns the exit status: 0, 1 on failures, 2 if CUnit cannot
 * be initialized. */
static inline int
unit_run(const char *module, const struct unit_test *tests, size_t n)
{
	CU_pSuite suite;
	size_t i;
	unsigned failed;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return (2);
	suite = CU_add_suite(module, NULL, NULL);
	for (i = 0; i < n; i++)
		CU_add_test(suite, tests[i].name, tests[i].fn);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failed > 0);
}

#define UNIT_MAIN(module, tests)                                               \
	int main(void)                                                         \
	{                                                                      \
		return (unit_run(                                              \
		    module, tests, sizeof(tests) / sizeof((tests)[0])));       \
	}

#endif
