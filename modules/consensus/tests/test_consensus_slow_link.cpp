#include "modules/consensus/consensus_state.h"
#include "modules/consensus/wire_members.h"
#include "modules/link/codec.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <utility>

using namespace teasellock;

namespace {

constexpr std::uint64_t Cluster = 77;
constexpr double KilobitsPerSecond = 1000.0 / 8;
const duration Step = fromMilliseconds(5);

/// One direction of a connection: bytes arrive in order, at a limited rate.
struct limited_link {
  /// Bytes per second; zero is unlimited.
  double Rate = 0;
  time_point IdleAt;
  std::uint64_t SentBytes = 0;
  std::deque<std::pair<time_point, consensus_message>> OnTheWay;

  void send(const consensus_message &Message, time_point Now) {
    std::size_t Bytes = std::visit(
        [](const auto &Body) { return encode(Body).size(); }, Message);
    SentBytes += Bytes;
    IdleAt = std::max(IdleAt, Now);
    if (Rate > 0)
      IdleAt += duration(
          static_cast<std::int64_t>(1e6 * static_cast<double>(Bytes) / Rate));
    OnTheWay.emplace_back(IdleAt, Message);
  }
};

/// A control group whose member 1 leads and whose disks take no time. Each pair
/// of members has a link in each direction.
struct linked_group {
  std::map<store_id, consensus_state> Members;
  std::map<store_id, consensus_effects> Effects;
  std::map<std::pair<store_id, store_id>, limited_link> Links;
  time_point Now = time_point(std::chrono::hours(1));
  std::uint64_t Random = 0;

  explicit linked_group(std::uint64_t Count) {
    member_list Initial;
    for (std::uint64_t Store = 1; Store <= Count; ++Store) {
      recovered_log Empty;
      Empty.Store = store_id(Store);
      Members[store_id(Store)] =
          startConsensus(std::move(Empty), consensus_timing(), input());
      Initial.push_back({store_id(Store), vm_id("vm"), {"10.0.0.1", 1}, true});
    }
    initialiseGroup(leader(), Initial, Cluster, input(), leaderEffects());
    run(fromMilliseconds(3000));
    REQUIRE(leader().Role == consensus_role::Leader);
  }

  consensus_state &leader() { return Members[store_id(1)]; }
  consensus_effects &leaderEffects() { return Effects[store_id(1)]; }
  consensus_input input() { return {Now, ++Random}; }

  /// Limits both directions between two members.
  void limit(store_id Left, store_id Right, double BytesPerSecond) {
    Links[{Left, Right}].Rate = BytesPerSecond;
    Links[{Right, Left}].Rate = BytesPerSecond;
  }

  void flush(store_id Store) {
    auto &Pending = Effects[Store];
    auto &State = Members[Store];
    while (!Pending.Disk.empty() || !Pending.Send.empty()) {
      Pending.Disk.clear();
      handleLogSynced(State, input(), Pending);
      for (const auto &Outgoing : std::exchange(Pending.Send, {}))
        Links[{Store, Outgoing.To}].send(Outgoing.Message, Now);
    }
    State.AppliedIndex = State.CommitIndex;
  }

  void deliver() {
    for (auto &[Ends, Link] : Links)
      while (!Link.OnTheWay.empty() && Link.OnTheWay.front().first <= Now) {
        auto Message = std::move(Link.OnTheWay.front().second);
        Link.OnTheWay.pop_front();
        handleMessage(Members[Ends.second], Message, input(),
                      Effects[Ends.second]);
        flush(Ends.second);
      }
  }

  void run(duration Span) {
    for (time_point End = Now + Span; Now < End; Now += Step) {
      deliver();
      for (auto &[Store, State] : Members) {
        handleTick(State, input(), Effects[Store]);
        flush(Store);
      }
    }
  }
};

} // namespace

// Guards against entries that are sent again on a timeout while the first copy
// is still on its way: the copies filled the link, so that a member on a slow
// one caught up several times as slowly.
TEST_CASE("consensus: entries are sent once to a member behind a link of "
          "2 Mbit/s") {
  constexpr std::size_t EntryBytes = 500000;
  linked_group Group(3);
  store_id Slow(3);
  Group.limit(store_id(1), Slow, 2000 * KilobitsPerSecond);
  auto &Link = Group.Links[{store_id(1), Slow}];
  std::uint64_t Before = Link.SentBytes;
  std::uint64_t Index = appendCommand(
      Group.leader(), std::string(EntryBytes, 'x'), Group.leaderEffects());
  Group.flush(store_id(1));
  Group.run(fromMilliseconds(3000));
  CHECK(Group.Members[Slow].Log.lastIndex() >= Index);
  CHECK(Link.SentBytes - Before < EntryBytes * 5 / 4);
  CHECK(Link.OnTheWay.size() < 3);
}

// As above, for the chunks of a snapshot.
TEST_CASE("consensus: a snapshot is sent once to a member behind a link of "
          "2 Mbit/s") {
  constexpr std::size_t SnapshotBytes = 1000000;
  linked_group Group(3);
  store_id Slow(3);
  auto Snapshot = std::make_shared<log_snapshot>();
  Snapshot->Index = Group.leader().CommitIndex;
  Snapshot->Term = Group.leader().HardState.Term;
  Snapshot->Members = currentMembers(Group.leader());
  Snapshot->Data = std::string(SnapshotBytes, 'x');
  compactLog(Group.leader(), Snapshot, 0);
  recovered_log Empty;
  Empty.Store = Slow;
  Group.Members[Slow] =
      startConsensus(std::move(Empty), consensus_timing(), Group.input());
  Group.leader().Followers[Slow] = follower_progress();
  Group.limit(store_id(1), Slow, 2000 * KilobitsPerSecond);
  auto &Link = Group.Links[{store_id(1), Slow}];
  std::uint64_t Before = Link.SentBytes;
  Group.run(fromMilliseconds(6000));
  CHECK(Group.Members[Slow].CommitIndex >= Snapshot->Index);
  CHECK(Link.SentBytes - Before < SnapshotBytes * 5 / 4);
}

// Guards against a member that never gets entries whose first copy was lost
// with its connection.
TEST_CASE("consensus: entries that a lost connection did not deliver are sent "
          "again within 1 s of the next connection") {
  linked_group Group(3);
  store_id Slow(3);
  Group.limit(store_id(1), Slow, 2000 * KilobitsPerSecond);
  auto &Link = Group.Links[{store_id(1), Slow}];
  std::uint64_t Index = appendCommand(Group.leader(), std::string(100000, 'x'),
                                      Group.leaderEffects());
  Group.flush(store_id(1));
  for (int Step = 0; Step < 20; ++Step) {
    Group.run(fromMilliseconds(100));
    Link.OnTheWay.clear();
  }
  REQUIRE(Group.Members[Slow].Log.lastIndex() < Index);
  Link.IdleAt = Group.Now;
  Group.run(fromMilliseconds(1000));
  CHECK(Group.Members[Slow].Log.lastIndex() >= Index);
}
