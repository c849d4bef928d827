#include "modules/limits/limit_bucket.h"
#include "modules/limits/limiter_slot.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

time_point timeAt(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

const limit_entry Entry{vm_id("entry"), incarnation(1)};

} // namespace

TEST_CASE("limits: a new bucket does not start full") {
  auto Bucket = makeBucket({100, 100}, timeAt(0));
  CHECK(extractOperations(Bucket, 50, 0, timeAt(0)) == 2);
  auto Small = makeBucket({1, 1}, timeAt(0));
  CHECK(extractOperations(Small, 50, 0, timeAt(0)) == 1);
}

TEST_CASE("limits: a bucket gains its rate up to its burst") {
  auto Bucket = makeBucket({10, 20}, timeAt(0));
  extractOperations(Bucket, 5, 0, timeAt(0));
  CHECK(extractOperations(Bucket, 50, 0, timeAt(1000)) == 10);
  CHECK(extractOperations(Bucket, 50, 0, timeAt(60000)) == 20);
  // A burst below one operation would refuse everything.
  auto Slow = makeBucket({0.5, 0}, timeAt(0));
  CHECK(extractOperations(Slow, 1, 0, timeAt(1000)) == 0);
  CHECK(extractOperations(Slow, 9, 0, timeAt(60000)) == 1);
}

TEST_CASE("limits: a time before the last one adds nothing") {
  auto Bucket = makeBucket({10, 20}, timeAt(1000));
  extractOperations(Bucket, 5, 0, timeAt(1000));
  CHECK(extractOperations(Bucket, 1, 0, timeAt(0)) == 0);
  CHECK(extractOperations(Bucket, 9, 0, timeAt(1100)) == 1);
}

TEST_CASE("limits: a changed limit is in force at once") {
  auto Bucket = makeBucket({100, 100}, timeAt(0));
  applyLimit(Bucket, {10, 10}, timeAt(60000));
  CHECK(extractOperations(Bucket, 500, 0, timeAt(60000)) == 10);
  applyLimit(Bucket, {1000, 1000}, timeAt(60000));
  CHECK(extractOperations(Bucket, 500, 0, timeAt(60100)) == 100);
}

TEST_CASE("limits: operations ahead of demand leave enough for callers") {
  auto Bucket = makeBucket({100, 100}, timeAt(0));
  // 92 tokens after 900 ms, 12 for callers, a quarter of the rest ahead.
  CHECK(extractOperations(Bucket, 12, 60, timeAt(900)) == 12 + 20);
  CHECK(extractOperations(Bucket, 60, 0, timeAt(900)) == 60);
}

TEST_CASE("limits: a repeated or overtaken request is not counted again") {
  limit_account Account;
  Account.Bucket = makeBucket({10, 10}, timeAt(0));
  CHECK(handleDemand(Account, Entry, {2, 2, 0, timeAt(20)}, timeAt(0)) == 2);
  limit_demand Return{0, 0, 1, timeAt(30)};
  CHECK(handleDemand(Account, Entry, Return, timeAt(0)) == 0);
  CHECK(handleDemand(Account, Entry, Return, timeAt(0)) == std::nullopt);
  CHECK(handleDemand(Account, Entry, {5, 5, 0, timeAt(25)}, timeAt(0)) ==
        std::nullopt);
  CHECK(handleDemand(Account, Entry, {9, 9, 0, timeAt(40)}, timeAt(0)) == 1);
}

TEST_CASE(
    "limits: only operations granted lately to the entry are taken back") {
  limit_account Account;
  Account.Bucket = makeBucket({1, 10}, timeAt(0));
  CHECK(handleDemand(Account, Entry, {2, 2, 0, timeAt(1)}, timeAt(0)) == 2);
  limit_entry Other{vm_id("entry"), incarnation(2)};
  CHECK(handleDemand(Account, Other, {9, 9, 9, timeAt(1)}, timeAt(100)) == 0);
  CHECK(handleDemand(Account, Entry, {9, 9, 9, timeAt(2)}, timeAt(200)) == 2);
  CHECK(handleDemand(Account, Entry, {9, 9, 2, timeAt(3)}, timeAt(600)) == 0);
}

TEST_CASE("limits: the slot of a name is the same in all versions") {
  // Values of FNV-1a, 64 bit: cbf29ce484222325, af63dc4c8601ec8c.
  CHECK(limiterSlotOf(organisation_id("")) == 5);
  CHECK(limiterSlotOf(organisation_id("a")) == 4);
}
