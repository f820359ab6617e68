#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "hangups.h"
}

namespace
{

/* An instance that was given more requests than one check looked at did not
 * notice that callers of the others had left, and went on with their jobs. */
TEST(Hangups, ACheckFindsEachCallerThatHasLeftHoweverManyThereAre)
{
	constexpr size_t kOften = 3000;
	const struct {
		const char *what;
		size_t before;
		size_t after;
		bool half_closed;
	} cases[] = {
		{ "alone", 0, 0, false },
		{ "the first of many", 0, kOften, false },
		{ "the last of many", kOften, 0, false },
		{ "half closed, among many", kOften, kOften, true },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		ph_hangups *h = ph_hangups_new(ph_mem_default());
		int open[2];
		int left[2];
		int name = 0;
		int other = 0;
		void **found;

		ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, open), 0);
		ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, left), 0);
		if (c.half_closed)
			shutdown(left[1], SHUT_WR);
		else
			close(left[1]);
		EXPECT_TRUE(ph_hung_up(left[0]));
		EXPECT_FALSE(ph_hung_up(open[0]));
		for (int round = 0; round < 2; round++) {
			for (size_t i = 0; i < c.before; i++)
				ph_hangups_add(h, open[0], &other);
			ph_hangups_add(h, left[0], &name);
			for (size_t i = 0; i < c.after; i++)
				ph_hangups_add(h, open[0], &other);
			ASSERT_EQ(ph_hangups_check(h, &found), 1);
			EXPECT_EQ(found[0], &name);
		}
		EXPECT_EQ(ph_hangups_check(h, &found), 0);
		close(open[0]);
		close(open[1]);
		close(left[0]);
		if (c.half_closed)
			close(left[1]);
		ph_hangups_free(h);
	}
}

} // namespace
