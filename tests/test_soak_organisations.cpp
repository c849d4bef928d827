#include "tests/soak/organisation_oracle.h"
#include "tests/temporary_folder.h"

#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace teasellock;
using namespace teasellock::soak;

namespace {

/// An oracle of a deployment in which one organisation holds one key.
struct organisation_fixture {
  oracle General;
  organisation_oracle Oracle{General};

  organisation_fixture() { Oracle.recordVersion({{"key-a", "a"}}); }

  void execute(const std::string &Key, bool IsPublic, const std::string &Name) {
    Oracle.recordSent("s", {Key, IsPublic});
    Oracle.checkExecution("s", Name);
  }

  std::string rule() const {
    if (General.violations().empty())
      return "none";
    const auto &First = General.violations().front();
    return First.substr(0, First.find(':'));
  }
};

} // namespace

TEST_CASE("soak: the oracle reports statements that are executed for another "
          "organisation than the key's") {
  auto RuleOf = [](const std::string &Key, bool IsPublic,
                   const std::string &Name) {
    organisation_fixture Bed;
    Bed.execute(Key, IsPublic, Name);
    return Bed.rule();
  };
  CHECK(RuleOf("key-a", false, "a") == "none");
  CHECK(RuleOf("key-a", true, "a") == "none");
  CHECK(RuleOf("key-a", false, "b") == "organisation");
  CHECK(RuleOf("key-a", false, "teasellock") == "organisation");
  // The operations of a known key are counted on public routes as well.
  CHECK(RuleOf("key-a", true, "teasellock") == "organisation");
}

TEST_CASE("soak: the oracle reports statements with an unknown key on a route "
          "that needs one") {
  organisation_fixture Bed;
  Bed.execute("key-x", false, "a");
  CHECK(Bed.rule() == "key");
  organisation_fixture Fixed;
  Fixed.execute("key-x", false, "teasellock");
  CHECK(Fixed.rule() == "key");
  organisation_fixture Public;
  Public.execute("key-x", true, "teasellock");
  CHECK(Public.rule() == "none");
}

TEST_CASE("soak: the oracle finds keys in messages and in logs") {
  organisation_roster Roster(1);
  organisation_fixture Message;
  Message.Oracle.checkText("START db " + Roster.keyOf(0), "a line");
  CHECK(Message.rule() == "secret");

  temporary_folder Folder;
  std::ofstream(Folder.Path + "/entry-1.log") << "level=info event=x\n";
  organisation_fixture Clean;
  checkLogs(Clean.Oracle, Folder.Path);
  CHECK(Clean.rule() == "none");
  std::ofstream(Folder.Path + "/entry-2.log")
      << "level=info event=x\nkey=" + Roster.keyOf(1) + "\n";
  checkLogs(Clean.Oracle, Folder.Path);
  CHECK(Clean.rule() == "secret");
}

TEST_CASE("soak: the roster has the organisations that a run needs") {
  organisation_roster Roster(1);
  std::map<std::string, std::size_t> Keys;
  for (const auto &[Key, Holder] : Roster.holders()) {
    ++Keys[Holder];
    CHECK(Key.find(KeyMarker) == 0);
  }
  CHECK(Keys.size() >= 3);
  CHECK(Keys.at("jardin") == 2);
  CHECK(tenantsJson(Roster.organisations(), Roster.holders()).size() ==
        Roster.organisations().size());
}
