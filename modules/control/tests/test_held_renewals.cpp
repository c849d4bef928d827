#include "modules/control/held_renewals.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

const time_point Start{fromMilliseconds(1000)};

link_message numbered(std::uint64_t Number) {
  return {message_kind(1), request_id(Number), "", ""};
}

} // namespace

TEST_CASE("control: renewals received during an election are answered by the "
          "new leader") {
  held_renewals Held;
  for (std::uint64_t Vm = 1; Vm <= 80; ++Vm)
    holdRenewal(Held, vm_id("vm" + std::to_string(Vm)), link_id(Vm),
                numbered(Vm), Start);
  auto Later = Start + fromMilliseconds(200);
  CHECK(popAnswerable(Held, false, Later).empty());
  CHECK(popAnswerable(Held, true, Later).size() == 80);
  CHECK(Held.empty());
}

TEST_CASE("control: only the latest renewal of a VM is held, and no longer "
          "than an election takes") {
  held_renewals Held;
  vm_id Vm("vm");
  holdRenewal(Held, Vm, link_id(1), numbered(1), Start);
  holdRenewal(Held, Vm, link_id(2), numbered(2), Start + fromMilliseconds(100));
  auto Answerable = popAnswerable(Held, false, Start + fromMilliseconds(1010));
  REQUIRE(Answerable.size() == 1);
  CHECK((Answerable.front().Message.Request == request_id(2)));
  CHECK((Answerable.front().Link == link_id(2)));
}
