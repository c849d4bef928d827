#include "modules/deployment/key_digest.h"
#include "tests/line_listener_fixture.h"

using namespace teasellock;

namespace {

/// Organisation "o1" without a limit, which holds the keys.
std::vector<organisation> holderOf(const std::vector<std::string> &Keys) {
  organisation Organisation;
  Organisation.Name = organisation_id("o1");
  for (const auto &Key : Keys)
    Organisation.Keys.push_back(digestOf(Key));
  return {Organisation};
}

} // namespace

// Guards against sessions that stay open after their key was removed, and
// against sessions of other keys that are closed with them.
TEST_CASE("line listener: idle sessions of a removed key are closed, open "
          "transactions are refused") {
  line_listener_fixture Fixture(holderOf({"k1", "k2"}));
  simulated_caller Removed(Fixture.Address);
  simulated_caller InTransaction(Fixture.Address);
  simulated_caller Kept(Fixture.Address);
  const std::string Ready = "READY I -\r\n";
  const std::string Open = Ready + "DONE -\r\nREADY T -\r\n";
  Removed.send("START db k1\r\n");
  InTransaction.send("START db k1\r\nQUERY 1 BEGIN\r\n");
  Kept.send("START db k2\r\n");
  REQUIRE(Fixture.runUntil([&] { return Removed.receive() == Ready; }));
  REQUIRE(Fixture.runUntil([&] { return InTransaction.receive() == Open; }));
  REQUIRE(Fixture.runUntil([&] { return Kept.receive() == Ready; }));
  Fixture.setOrganisations(holderOf({"k2"}));
  REQUIRE(Fixture.runUntil([&] {
    Removed.receive();
    return Removed.IsClosed;
  }));
  CHECK(Removed.Received == Ready);
  InTransaction.receive();
  CHECK_FALSE(InTransaction.IsClosed);
  InTransaction.send("QUERY 2 COMMIT\r\n");
  REQUIRE(Fixture.runUntil([&] {
    InTransaction.receive();
    return InTransaction.IsClosed;
  }));
  CHECK(InTransaction.Received ==
        Open + "ERR NOAUTH the key is not known\r\n" + Ready);
  simulated_caller Late(Fixture.Address);
  Late.send("START db k1\r\n");
  REQUIRE(Fixture.runUntil([&] {
    Late.receive();
    return Late.IsClosed;
  }));
  CHECK(Late.Received == "ERR NOAUTH the key is not known\r\n");
  Kept.send("QUERY 1 BEGIN\r\n");
  CHECK(Fixture.runUntil([&] { return Kept.receive() == Open; }));
  CHECK_FALSE(Kept.IsClosed);
}
