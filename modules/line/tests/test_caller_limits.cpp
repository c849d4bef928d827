#include "modules/gateway/statement_size.h"
#include "modules/line/caller_limits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace teasellock;

namespace {

constexpr std::size_t Megabyte = 1024 * 1024;

} // namespace

/// Guards against limits that ordinary callers would reach.
TEST_CASE("caller limits: the defaults allow 4,000 callers with messages of "
          "ordinary size and one of 1 MiB") {
  auto Limits = limitsFor({});
  CHECK(Limits.MaxCallers == 4000);
  buffer_usage Usage;
  std::vector<std::size_t> Counted(Limits.MaxCallers, 0);
  for (auto &Caller : Counted)
    REQUIRE(recordBufferedBytes(Usage, Limits, Caller, 16 * 1024));
  CHECK(recordBufferedBytes(Usage, Limits, Counted.front(), Megabyte));
}

/// Guards against a crowd that occupies all memory with unfinished messages.
TEST_CASE("caller limits: buffers beyond the free bytes stay under the limit") {
  auto Limits = limitsFor({112 * Megabyte, 400});
  buffer_usage Usage;
  std::size_t Refused = 0;
  std::vector<std::size_t> Counted(200, 0);
  for (auto &Caller : Counted)
    Refused += !recordBufferedBytes(Usage, Limits, Caller, Megabyte);
  CHECK(Refused > 0);
  CHECK(Usage.Total <= Limits.MaxBufferedBytes);
  std::size_t Ordinary = 0;
  CHECK(recordBufferedBytes(Usage, Limits, Ordinary, FreeBytesPerCaller));
}

/// Guards against bytes that stay counted after a caller has sent them on.
TEST_CASE("caller limits: the total is the sum of what callers count for") {
  rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint32_t>> &Steps) {
        auto Limits = limitsFor({112 * Megabyte, 400});
        buffer_usage Usage;
        std::vector<std::size_t> Counted(256, 0);
        for (auto [Caller, Bytes] : Steps) {
          recordBufferedBytes(Usage, Limits, Counted[Caller],
                              Bytes % (4 * Megabyte));
          std::size_t Sum = 0;
          for (auto Count : Counted)
            Sum += Count;
          RC_ASSERT(Usage.Total == Sum);
          RC_ASSERT(Usage.Total <= Limits.MaxBufferedBytes);
        }
      });
}

TEST_CASE("caller limits: a long statement alone is sent, beside others only "
          "within the limit") {
  auto Limits = limitsFor({112 * Megabyte, 400});
  CHECK(canSend(Limits, 0, Megabyte));
  CHECK(canSend(Limits, Limits.MaxInFlightBytes, OrdinaryStatementBytes));
  CHECK_FALSE(canSend(Limits, Limits.MaxInFlightBytes, Megabyte));
}

/// Guards against callers that leave no descriptors for links and upstreams.
TEST_CASE("caller limits: descriptors bound the number of callers") {
  CHECK(limitsFor({0, 3010}).MaxCallers == 2388);
  CHECK(limitsFor({0, 100}).MaxCallers == 16);
  CHECK(limitsFor({0, 100000}).MaxCallers == 4000);
}
