#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "confstore.h"
}

namespace
{

const std::string key(64, 'a');

std::string doc(int version, const std::string &extra = "")
{
	return "{\"version\":" + std::to_string(version) +
	       ",\"domains\":[\"a\"],\"services\":[{\"name\":\"s\",\"kinds\":"
	       "[{\"name\":\"k\"}]}],\"teams\":[{\"name\":\"t\","
	       "\"key_sha256\":\"" +
	       key + "\"}]" + extra + "}";
}

void collect(void *ctx, const struct ph_fault *fault)
{
	static_cast<std::vector<std::string> *>(ctx)->push_back(fault->field);
}

struct FaultCase {
	std::string text;
	std::vector<std::string> fields;
};

TEST(Config, ReportsEveryFaultWithItsField)
{
	const FaultCase cases[] = {
		{ "nonsense", { "/" } },
		{ "{}", { "/domains", "/services", "/teams" } },
		{ doc(1, ",\"extra\":1"), { "/extra" } },
		{ "{\"version\":0,\"domains\":[\"A\"],\"services\":[{\"name\":"
		  "\"s\",\"kinds\":[{\"name\":\"k\"},{\"name\":\"k\"}]}],"
		  "\"teams\":[{\"name\":\"t\",\"key_sha256\":\"xy\"}]}",
		  { "/version", "/domains/0", "/teams/0/key_sha256",
		    "/services/0/kinds/1" } },
	};

	for (const FaultCase &c : cases) {
		std::vector<std::string> fields;
		struct ph_config *config = nullptr;

		EXPECT_EQ(ph_config_parse(ph_mem_default(), c.text.data(),
					  c.text.size(), &config, collect,
					  &fields),
			  PH_ERR_SYNTAX);
		EXPECT_EQ(fields, c.fields) << c.text;
	}
}

struct OfferCase {
	int version;
	int expected;
	uint64_t in_force;
};

TEST(Confstore, VersionNeverDecreases)
{
	const OfferCase cases[] = {
		{ 3, 0, 3 }, { 3, PH_ERR_VERSION, 3 }, { 2, PH_ERR_VERSION, 3 },
		{ 7, 0, 7 }, { 0, PH_ERR_SYNTAX, 7 },  { 6, PH_ERR_VERSION, 7 },
	};
	struct ph_confstore store;

	ph_confstore_init(&store, ph_mem_default());
	EXPECT_EQ(ph_confstore_version(&store), 0u);
	for (const OfferCase &c : cases) {
		const std::string text = doc(c.version);

		EXPECT_EQ(ph_confstore_offer(&store, text.data(), text.size()),
			  c.expected);
		EXPECT_EQ(ph_confstore_version(&store), c.in_force);
	}
	ph_confstore_free(&store);
}

TEST(Config, HashesKeysAsLowerCaseHexSha256)
{
	char digest[PH_DIGEST_HEX_BYTES];

	ph_sha256_hex("abc", digest);
	EXPECT_STREQ(digest, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb"
			     "410ff61f20015ad");
}

} // namespace
