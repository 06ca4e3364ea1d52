/** \file
 * Bytes of others in pages, events and metrics: each is read by its parser. */
#include "base/Address.h"
#include "base/Text.h"
#include "node/EventJson.h"
#include "node/MemberJson.h"
#include "process/Metrics.h"
#include "process/metricLabel.h"

#include <nlohmann/json.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;

namespace {

const std::string OddTexts[] = {"\xff\xfe",
                                "\xc3",
                                "\xed\xa0\x80",
                                "\xf8\x88\x80\x80\x80",
                                std::string("a\0b", 3),
                                "\"\\\n\r\t",
                                "\\",
                                "\"} 1\nx{y=\"",
                                ""};

} // namespace

TEST_GROUP(OddText){};

TEST(OddText, PagesOfAnyBytesAreJson) {
  for (const std::string &text : OddTexts) {
    Member member;
    member.failureDomain = member.target.service = member.target.bootId = text;
    member.target.state = TargetState::Cold;
    member.target.address.host = text;
    const Event event{{}, EventKind::NodeStarted, text, text, text, text};
    for (const nlohmann::json &page : {toJson(member), toJson({event})}) {
      const std::string encoded = encodeJson(page);
      CHECK_TEXT(nlohmann::json::accept(encoded), encoded.c_str());
    }
  }
}

TEST(OddText, LabelOfAnyBytesStaysOneLabel) {
  for (const std::string &text : OddTexts) {
    Metrics metrics;
    metrics.add("x", metricLabel("name", text));
    const std::string page = metrics.print();
    CHECK_EQUAL(2, std::ranges::count(page, '\n'));
    CHECK(toValidUtf8(page) == page);
    CHECK(page.find('\0') == std::string::npos);
  }
  STRCMP_EQUAL(R"(name="a\\b\"c\nd")",
               metricLabel("name", "a\\b\"c\nd").c_str());
}

TEST(OddText, ControlCharactersAndBytesAreNoPlainText) {
  for (const char *const text : {"a", "", "\xc3\xa9", "a b:c/\"'\\"})
    CHECK(isPlainText(text));
  for (const std::string &text :
       {std::string("\0", 1), std::string("\r\n"), std::string("\x7f"),
        std::string("\xff"), std::string("a\xc3")})
    CHECK_FALSE(isPlainText(text));
}

// Guards against the bytes behind a zero byte, or in a scope, as part of a
// host.
TEST(OddText, HostWithOddBytesIsNoAddress) {
  for (const std::string &host :
       {std::string("127.0.0.1\0x", 11), std::string("[fe80::1%\xff]"),
        std::string("[fe80::1%\r\n]"), std::string("[fe80::1%\"]")})
    CHECK_FALSE(Address::parse(host + ":80").has_value());
  for (const char *const address :
       {"127.0.0.1:80", "[::1]:80", "[fe80::1%eth0]:80"})
    CHECK(Address::parse(address).has_value());
}
