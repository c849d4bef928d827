#include "modules/consensus/log_store.h"
#include "modules/control/control_state.h"
#include "modules/link/codec.h"
#include "modules/membership/member_state.h"
#include "tests/temporary_folder.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace teasellock;

namespace {

const std::filesystem::path Fixtures =
    std::filesystem::path(TEASELLOCK_SOURCE_FOLDER) /
    "tests/fixtures/earlier_build";

std::string readFile(const std::filesystem::path &Path) {
  std::ifstream File(Path, std::ios::binary);
  REQUIRE(File.good());
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

template <typename Message> Message readFrame(const std::string &Name) {
  return decode<Message>(readFile(Fixtures / "frames" / Name), Name);
}

/// A copy of the recorded data folder, which may be written to.
struct recorded_store {
  temporary_folder Folder;

  recorded_store() {
    std::filesystem::copy(
        Fixtures / "store", Folder.Path,
        std::filesystem::copy_options::recursive |
            std::filesystem::copy_options::overwrite_existing);
  }

  recovered_log recover() const {
    return log_store(posixFileSystem(), Folder.Path, store_id(1))
        .extractRecovered();
  }

  std::filesystem::path lastSegment() const {
    return std::filesystem::path(Folder.Path) / "log-00000000000000000002";
  }
};

control_state replay(const recovered_log &Log) {
  auto State = decodeSnapshot(Log.Snapshot->Data);
  for (const auto &Entry : Log.Entries)
    if (Entry.kind == wire::entry_kind::command &&
        static_cast<std::uint64_t>(Entry.index) > Log.Snapshot->Index)
      applyCommand(State, revision(static_cast<std::uint64_t>(Entry.index)),
                   decode<wire::control_command>(Entry.data, "log"));
  return State;
}

} // namespace

// Guards against a build that can't start on the data of an earlier one, or
// reads something else from it.
TEST_CASE("earlier build: its control store is recovered with the table, the "
          "groups and the members") {
  recorded_store Store;
  auto Log = Store.recover();
  REQUIRE(Log.Snapshot != nullptr);
  CHECK(Log.Snapshot->Index == 2000);
  CHECK(Log.Snapshot->Members.size() == 3);
  CHECK(Log.HardState.Term > 0);
  CHECK(Log.HardState.Cluster > 0);
  CHECK(Log.TruncatedBytes == 0);
  auto State = replay(Log);
  CHECK((State.TableVersion == table_version(2011)));
  CHECK(State.Vms.size() == 9);
  for (const char *Name : {"despacho-1", "despacho-2"}) {
    const auto &Group = State.Groups.at(group_id(Name));
    CHECK(Group.Row.QueueTimeout == fromMilliseconds(5010));
    CHECK((Group.Primary == upstream_id("u1")));
    CHECK(Group.Upstreams.size() == 3);
    CHECK(Group.Gateways.size() == 2);
    CHECK_FALSE(Group.Promotion.has_value());
    CHECK(Group.OpenOrders.empty());
  }
}

TEST_CASE("earlier build: a torn last record of its log is removed, and all "
          "before it is kept") {
  recorded_store Store;
  auto Whole = Store.recover().Entries.size();
  std::filesystem::resize_file(
      Store.lastSegment(), std::filesystem::file_size(Store.lastSegment()) - 5);
  auto Log = Store.recover();
  CHECK(Log.TruncatedBytes > 0);
  CHECK(Log.Entries.size() == Whole - 1);
  CHECK(replay(Log).Groups.size() == 2);
}

TEST_CASE("earlier build: its renewals and replies are read") {
  auto Renewal = readFrame<wire::renewal>("renewal");
  CHECK(Renewal.vm == "vm-4");
  CHECK(Renewal.incarnation == 5);
  CHECK(Renewal.applied_revision == 42);
  CHECK(Renewal.deployment_version == 9);
  CHECK(Renewal.control_store == 11);
  CHECK_FALSE(Renewal.accepts_patches);
  CHECK_FALSE(Renewal.accepts_pending_views);
  REQUIRE(Renewal.groups.size() == 1);
  CHECK(Renewal.groups[0].budget_epoch == 7);
  REQUIRE(Renewal.groups[0].upstreams.size() == 1);
  CHECK(Renewal.groups[0].upstreams[0].connection_age_ms == 40);

  auto Reply = readFrame<wire::renewal_reply>("renewal-reply");
  member_state State;
  applyRenewalReply(State, Reply, time_point(std::chrono::hours(1)));
  CHECK((State.Applied == revision(43)));
  CHECK((State.Deployment.Version == deployment_version(10)));
  REQUIRE(State.Deployment.Routes.size() == 1);
  CHECK(State.Deployment.Routes[0].TargetLatency == fromMilliseconds(400));
  CHECK((State.Views.at(group_id("g")).Primary == upstream_id("u0")));
  CHECK(isLeaseValid(State, time_point(std::chrono::hours(1))));
}

TEST_CASE("earlier build: its fences and log entries are read") {
  auto Fence = readFrame<wire::fence>("fence");
  CHECK(Fence.group == "g");
  CHECK(Fence.pause_term == 4);
  CHECK(Fence.demoted.empty());
  auto FenceReply = readFrame<wire::fence_reply>("fence-reply");
  REQUIRE(FenceReply.upstreams.size() == 1);
  CHECK(FenceReply.upstreams[0].paused);
  CHECK(FenceReply.upstreams[0].received.offset == 1207);
  auto Append = readFrame<wire::append_request>("append-request");
  CHECK(Append.round == 99);
  CHECK(Append.cluster == 77);
  REQUIRE(Append.entries.size() == 1);
  CHECK(Append.entries[0].index == 8);
  CHECK(Append.entries[0].data == "x");
}
