#include "tests/soak/organisation_faults.h"
#include "tests/temporary_folder.h"

#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace teasellock;
using namespace teasellock::soak;

namespace {

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

/// An oracle of a deployment in which one organisation holds one key.
struct organisation_fixture {
  oracle General;
  organisation_oracle Oracle{General, {{"a", 4, 5}}};

  organisation_fixture() { change(1, {{"key-a", "a"}}, 0); }

  /// A version that is acknowledged 100 ms after it was sent.
  void change(std::uint64_t Version, const key_holders &Holders,
              std::int64_t Milliseconds) {
    Oracle.recordVersion(Version, Holders, at(Milliseconds));
    Oracle.recordAcknowledgement(Version, at(Milliseconds + 100));
  }

  void execute(const std::string &Key, bool IsPublic, const std::string &Name) {
    Oracle.recordSent("s", {Key, 0, IsPublic, at(5000), at(5000), "s"});
    Oracle.checkExecution("s", Name, at(5010));
  }

  void answer(bool IsAdmitted, std::int64_t Milliseconds,
              bool IsPublic = false) {
    auto Sent = at(Milliseconds);
    Oracle.checkAnswer({"key-a", 0, IsPublic, Sent, Sent, ""}, IsAdmitted,
                       Sent);
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

TEST_CASE("soak: the oracle reports a removed key that is admitted 4 s after "
          "the acknowledgement") {
  auto RuleOf = [](bool IsAdmitted, std::int64_t Milliseconds) {
    organisation_fixture Bed;
    Bed.change(2, {}, 10000);
    Bed.answer(IsAdmitted, Milliseconds);
    return Bed.rule();
  };
  CHECK(RuleOf(true, 9999) == "none");
  CHECK(RuleOf(true, 14099) == "none");
  CHECK(RuleOf(true, 14100) == "revoked");
  // The VM may have the version as soon as it was sent.
  CHECK(RuleOf(false, 9999) == "added");
  CHECK(RuleOf(false, 10000) == "none");
  CHECK(RuleOf(false, 14100) == "none");
}

TEST_CASE("soak: the oracle reports an added key that is refused 4 s after the "
          "acknowledgement") {
  auto RuleOf = [](bool IsAdmitted, std::int64_t Milliseconds) {
    organisation_fixture Bed;
    Bed.change(2, {}, 10000);
    Bed.change(3, {{"key-a", "a"}}, 20000);
    Bed.answer(IsAdmitted, Milliseconds);
    return Bed.rule();
  };
  CHECK(RuleOf(true, 19999) == "revoked");
  CHECK(RuleOf(true, 20000) == "none");
  CHECK(RuleOf(false, 24099) == "none");
  CHECK(RuleOf(false, 24100) == "added");
}

TEST_CASE("soak: the oracle judges changes of keys only at VMs that control "
          "reaches") {
  auto RuleOf = [](std::optional<std::size_t> Entry, std::int64_t Begin,
                   std::int64_t End) {
    organisation_fixture Bed;
    Bed.change(2, {}, 10000);
    Bed.Oracle.recordDisturbance(Entry, at(Begin), at(End));
    Bed.answer(true, 15000);
    return Bed.rule();
  };
  CHECK(RuleOf(0, 14000, 16000) == "none");
  CHECK(RuleOf(std::nullopt, 14000, 16000) == "none");
  CHECK(RuleOf(0, 7000, 9001) == "none");
  CHECK(RuleOf(0, 7000, 9000) == "revoked");
  CHECK(RuleOf(1, 14000, 16000) == "revoked");
  CHECK(RuleOf(0, 15001, 16000) == "revoked");
}

TEST_CASE("soak: the oracle reports statements for the former organisation of "
          "a key that was moved") {
  auto RuleOf = [](std::int64_t OperationSent, const std::string &Name) {
    organisation_fixture Bed;
    Bed.change(2, {{"key-a", "b"}}, 10000);
    Bed.Oracle.recordSent(
        "s", {"key-a", 0, false, at(15000), at(OperationSent), "s"});
    Bed.Oracle.checkExecution("s", Name, at(15010));
    return Bed.rule();
  };
  CHECK(RuleOf(15000, "a") == "organisation");
  CHECK(RuleOf(15000, "b") == "none");
  // An open transaction keeps its organisation.
  CHECK(RuleOf(14000, "a") == "none");
}

TEST_CASE("soak: the oracle reports a refusal because of the key on a public "
          "route") {
  organisation_fixture Bed;
  Bed.change(2, {}, 10000);
  Bed.answer(true, 20000, true);
  CHECK(Bed.rule() == "none");
  Bed.answer(false, 20000, true);
  CHECK(Bed.rule() == "added");
}

TEST_CASE("soak: the oracle reports more operations in a window than the limit "
          "allows") {
  // Rate 4, burst 5: (4 * 5 + 5) * 1.1 + 20 = 47.5.
  auto RuleOf = [](std::size_t Operations, std::int64_t GapMs,
                   std::size_t Statements) {
    organisation_fixture Bed;
    for (std::size_t Number = 0; Number < Operations * Statements; ++Number) {
      auto Id = "s" + std::to_string(Number);
      auto Operation = std::to_string(Number / Statements);
      auto Now = at(5000 + static_cast<std::int64_t>(Number) * GapMs);
      Bed.Oracle.recordSent(Id, {"key-a", 0, false, Now, Now, Operation});
      Bed.Oracle.checkExecution(Id, "a", Now);
    }
    return Bed.rule();
  };
  CHECK(RuleOf(47, 1, 1) == "none");
  CHECK(RuleOf(48, 1, 1) == "limit");
  // Further statements of an operation are not counted.
  CHECK(RuleOf(47, 1, 3) == "none");
  // 47 operations in each window, and one more.
  CHECK(RuleOf(200, 107, 1) == "none");
  CHECK(RuleOf(200, 104, 1) == "limit");
}

TEST_CASE(
    "soak: a run freezes at most one limiter, for longer than its lease") {
  duration Span = std::chrono::seconds(14);
  std::size_t Runs = 0;
  std::size_t Kills = 0;
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::size_t Freezes = 0;
    for (const auto &Fault : generateOrganisationFaults(Seed, Span)) {
      Kills += Fault.Kind == fault_kind::KillLimiter ? 1 : 0;
      if (Fault.Kind != fault_kind::FreezeLimiter)
        continue;
      ++Freezes;
      CHECK((Fault.Duration > std::chrono::seconds(12)));
    }
    CHECK(Freezes <= 1);
    Runs += Freezes;
  }
  CHECK(Runs == 25);
  CHECK(Kills > 0);
}

TEST_CASE("soak: runs with organisations have fewer faults, and all end in "
          "time") {
  duration Span = std::chrono::seconds(14);
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::size_t Changes = 0;
    for (const auto &Fault : generateOrganisationFaults(Seed, Span)) {
      CHECK((Fault.StartOffset + Fault.Duration <= Span));
      CHECK((Fault.Kind != fault_kind::FreezeEntry));
      CHECK((Fault.Kind != fault_kind::FreezeControl));
      Changes += Fault.Kind == fault_kind::ChangeKey ? 1 : 0;
    }
    CHECK(Changes > 0);
  }
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
      << "level=info event=x\nkey=" << Roster.keyOf(1) << "\n";
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
  // Two that stay and one that changes.
  CHECK(Keys.at("jardin") == 3);
  CHECK(tenantsJson(Roster.organisations(), Roster.holders()).size() ==
        Roster.organisations().size());
}

TEST_CASE("soak: changes of keys remove, add and move, and end with all keys "
          "known") {
  organisation_roster Roster(1);
  auto First = Roster.holders();
  Roster.changeKeys();
  auto Second = Roster.holders();
  auto IsIn = [](const key_holders &Holders, const auto &Entry) {
    return Holders.contains(Entry.first);
  };
  CHECK(std::count_if(First.begin(), First.end(), [&](const auto &Entry) {
          return !IsIn(Second, Entry);
        }) == 1);
  CHECK(std::count_if(Second.begin(), Second.end(), [&](const auto &Entry) {
          return !IsIn(First, Entry);
        }) == 1);
  CHECK(std::count_if(First.begin(), First.end(), [&](const auto &Entry) {
          return IsIn(Second, Entry) && Second.at(Entry.first) != Entry.second;
        }) == 1);
  for (std::size_t Count = 0; Count < 100; ++Count)
    Roster.changeKey();
  Roster.restoreKeys();
  CHECK(Roster.holders().size() == First.size() + 1);
}
