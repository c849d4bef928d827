#include "modules/consensus/log_store.h"

#include "core/error.h"
#include "modules/consensus/tests/fake_disk.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <rapidcheck.h>
#include <unistd.h>

using namespace teasellock;

namespace {

const std::string Folder = "data";
const std::string FirstSegment = "data/log-00000000000000000001";

wire::log_entry entryOf(std::uint64_t Index, std::uint64_t Term,
                        const std::string &Data) {
  wire::log_entry Entry;
  Entry.index = static_cast<std::int64_t>(Index);
  Entry.term = static_cast<std::int64_t>(Term);
  Entry.kind = wire::entry_kind::command;
  Entry.data = Data;
  return Entry;
}

recovered_log reopen(fake_disk &Disk) {
  return log_store(Disk.files(), Folder, store_id(99)).takeRecovered();
}

void writeThree(fake_disk &Disk) {
  log_store Store(Disk.files(), Folder, store_id(7));
  Store.savePromises({3, store_id(8), 5});
  Store.append({entryOf(1, 1, "one")}, 0);
  Store.append({entryOf(2, 1, "two")}, 1);
  Store.append({entryOf(3, 3, "three")}, 2);
}

} // namespace

TEST_CASE("consensus: a store comes back with its id, promises and entries") {
  fake_disk Disk(1);
  writeThree(Disk);
  Disk.losePower();
  recovered_log Found = reopen(Disk);
  CHECK(Found.Store.Value == 7);
  CHECK(Found.Promises.Term == 3);
  CHECK(Found.Promises.VotedFor.Value == 8);
  CHECK(Found.Promises.Cluster == 5);
  REQUIRE(Found.Entries.size() == 3);
  CHECK(Found.Entries.back().data == "three");
  CHECK(Found.Commit == 2);
}

TEST_CASE("consensus: an entry replaces those from its index on") {
  fake_disk Disk(1);
  writeThree(Disk);
  log_store Store(Disk.files(), Folder, store_id(7));
  Store.append({entryOf(2, 4, "other two")}, 1);
  recovered_log Found = reopen(Disk);
  REQUIRE(Found.Entries.size() == 2);
  CHECK(Found.Entries.back().data == "other two");
}

TEST_CASE("consensus: a torn tail is cut, a bad record inside is refused") {
  fake_disk Disk(1);
  writeThree(Disk);
  std::string Whole = Disk.content(FirstSegment);
  for (std::size_t Size = Whole.size(); Size > 0; --Size) {
    Disk.content(FirstSegment) = Whole.substr(0, Size);
    recovered_log Found = reopen(Disk);
    CHECK(Found.Entries.size() <= 3);
    CHECK(Found.CutBytes + Disk.content(FirstSegment).size() == Size);
  }
  std::string Bad = Whole;
  Bad[20] ^= 1;
  Disk.content(FirstSegment) = Bad;
  try {
    reopen(Disk);
    FAIL("a bad record inside the log was accepted");
  } catch (const error &Problem) {
    CHECK(Problem.peer() == FirstSegment);
    CHECK(Problem.reason().find("offset 0") != std::string::npos);
  }
}

TEST_CASE("consensus: a log without identity or promises is refused") {
  for (const char *Lost : {"data/store", "data/vote"}) {
    fake_disk Disk(1);
    writeThree(Disk);
    Disk.files().Remove(Lost);
    CHECK_THROWS_AS(reopen(Disk), error);
  }
}

TEST_CASE("consensus: a damaged snapshot is refused") {
  fake_disk Disk(1);
  writeThree(Disk);
  log_store Store(Disk.files(), Folder, store_id(7));
  Store.saveSnapshot({3, 3, {}, "state"}, false);
  CHECK_FALSE(Disk.holds(FirstSegment));
  CHECK(reopen(Disk).Snapshot->Data == "state");
  Disk.content("data/snapshot-00000000000000000003").back() ^= 1;
  CHECK_THROWS_AS(reopen(Disk), error);
}

TEST_CASE("consensus: two processes can't use one data folder") {
  char Pattern[] = "/tmp/teasellock-store-XXXXXX";
  std::string Path = ::mkdtemp(Pattern);
  {
    log_store First(posixFileSystem(), Path, store_id(1));
    CHECK_THROWS_AS(log_store(posixFileSystem(), Path, store_id(2)), error);
  }
  log_store Again(posixFileSystem(), Path, store_id(3));
  CHECK(Again.takeRecovered().Store.Value == 1);
  std::filesystem::remove_all(Path);
}

TEST_CASE("consensus: what a store promised survives power loss at any file "
          "operation") {
  bool Held = rc::check([](std::uint64_t Seed) {
    fake_disk Disk(Seed);
    std::vector<std::string> Promised;
    std::uint64_t PromisedTerm = 0;
    std::uint64_t Snapshot = 0;
    for (int Life = 0; Life < 6; ++Life) {
      try {
        log_store Store(Disk.files(), Folder, store_id(7));
        recovered_log Found = Store.takeRecovered();
        std::uint64_t Base = Found.Snapshot ? Found.Snapshot->Index : 0;
        RC_ASSERT(Base >= Snapshot);
        RC_ASSERT(Found.Promises.Term >= PromisedTerm);
        RC_ASSERT(Base + Found.Entries.size() >= Promised.size());
        for (std::size_t At = 0; At < Found.Entries.size(); ++At)
          if (Base + At < Promised.size())
            RC_ASSERT(Found.Entries[At].data == Promised[Base + At]);
        Promised.resize(Base);
        for (const wire::log_entry &Entry : Found.Entries)
          Promised.push_back(Entry.data);
        Snapshot = Base;
        PromisedTerm = Found.Promises.Term;
        Disk.failAfter(*rc::gen::inRange(0, 60));
        for (;;) {
          std::uint64_t Next = Promised.size() + 1;
          int Choice = *rc::gen::inRange(0, 6);
          if (Choice == 0 || PromisedTerm == 0) {
            Store.savePromises({PromisedTerm + 1, store_id(1), 1});
            PromisedTerm += 1;
          } else if (Choice == 1 && Promised.size() > Snapshot) {
            Store.saveSnapshot({Promised.size(), 1, {}, "state"}, false);
            Snapshot = Promised.size();
          } else {
            std::string Data = "entry " + std::to_string(Next);
            Store.append({entryOf(Next, 1, Data)}, Promised.size());
            Promised.push_back(Data);
          }
        }
      } catch (const power_loss &) {
        Disk.losePower();
      }
    }
  });
  CHECK(Held);
}
