#include "modules/routing/gateway_choice.h"
#include "modules/routing/gateway_links.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

const group_id Group("despacho");
const time_point Start = time_point(std::chrono::seconds(1000));

struct test_zone {
  const char *Name;
  const char *Region;
};

constexpr test_zone Zones[] = {{"zocalo", "centro"},   {"mercado", "centro"},
                               {"catedral", "centro"}, {"malecon", "costa"},
                               {"faro", "costa"},      {"muelle", "costa"}};
constexpr std::size_t ZoneCount = std::size(Zones);

gateway_share shareIn(std::size_t Zone, int Number) {
  gateway_share Share;
  Share.Vm = vm_id("gateway-" + std::to_string(Number));
  Share.Address = {"10.0.0." + std::to_string(Number), 7440};
  Share.AvailabilityZone = availability_zone_id(Zones[Zone].Name);
  Share.Region = region_id(Zones[Zone].Region);
  return Share;
}

/// A group with Gateways gateways spread over all zones, and its primary in the
/// given zone.
group_view viewOf(int Gateways, std::size_t PrimaryZone) {
  group_view View;
  View.Group = Group;
  View.Primary = upstream_id("primary");
  upstream_announcement Announcement;
  Announcement.Upstream = *View.Primary;
  Announcement.AvailabilityZone = availability_zone_id(Zones[PrimaryZone].Name);
  Announcement.Region = region_id(Zones[PrimaryZone].Region);
  View.Upstreams.push_back(Announcement);
  for (int I = 0; I < Gateways; ++I)
    View.Gateways.push_back(
        shareIn(static_cast<std::size_t>(I) % ZoneCount, I));
  return View;
}

/// An entry whose links open, fail and open late, as its effects ask for.
struct simulated_entry {
  routing_state Routing;
  time_point Now = Start;
  group_view View;
  std::set<vm_id> Dead;
  /// Links that the entry has asked for and not closed.
  std::set<vm_id> Links;

  simulated_entry(std::size_t Zone, const std::string &Name = "entry") {
    Routing.Self.Vm = vm_id(Name);
    Routing.Self.AvailabilityZone = availability_zone_id(Zones[Zone].Name);
    Routing.Self.Region = region_id(Zones[Zone].Region);
    Routing.Budget.UpdatedAt = Now;
  }

  void execute(const routing_effects &Effects) {
    for (const auto &Effect : Effects) {
      if (Effect.Kind == routing_effect::kind::CloseLink)
        Links.erase(Effect.Gateway);
      if (Effect.Kind != routing_effect::kind::OpenLink)
        continue;
      RC_ASSERT(Links.insert(Effect.Gateway).second);
      openIfAlive(Effect.Gateway);
    }
  }

  void openIfAlive(const vm_id &Vm) {
    if (Dead.contains(Vm) || !Links.contains(Vm))
      return;
    routing_effects Effects;
    handleGatewayOpened(Routing, Vm, Now, Effects);
    execute(Effects);
  }

  void apply(const group_view &Next) {
    View = Next;
    routing_effects Effects;
    applyView(Routing, View, Now, Effects);
    execute(Effects);
  }

  void kill(const vm_id &Vm) {
    if (!Dead.insert(Vm).second || !Links.contains(Vm))
      return;
    routing_effects Effects;
    handleGatewayClosed(Routing, Vm, Now, Effects);
    execute(Effects);
  }

  void revive(const vm_id &Vm) {
    if (Dead.erase(Vm) > 0)
      openIfAlive(Vm);
  }

  void advance(duration Span) {
    Now += Span;
    routing_effects Effects;
    reviewLinks(Routing, Now, Effects);
    execute(Effects);
  }

  /// The gateway that a statement is sent to, if any.
  std::optional<vm_id> target(bool NeedsPrimary) {
    auto Options = gatewayOptions(Routing, Routing.Groups[Group], Now);
    const auto *Best = chooseGateway(Options, NeedsPrimary);
    return Best ? std::optional(Best->Vm) : std::nullopt;
  }

  const gateway_share &shareOf(const vm_id &Vm) const {
    return *std::find_if(
        View.Gateways.begin(), View.Gateways.end(),
        [&](const gateway_share &Share) { return Share.Vm == Vm; });
  }
};

} // namespace

TEST_CASE("routing: a split queue before a primary: its statements go to "
          "gateways in its region, other reads to the nearest") {
  for (std::size_t EntryZone = 0; EntryZone < ZoneCount; ++EntryZone)
    for (std::size_t PrimaryZone = 0; PrimaryZone < ZoneCount; ++PrimaryZone) {
      simulated_entry Entry(EntryZone);
      Entry.apply(viewOf(ZoneCount, PrimaryZone));
      auto ForPrimary = Entry.target(true);
      auto ForReads = Entry.target(false);
      REQUIRE(ForPrimary);
      REQUIRE(ForReads);
      CHECK(Entry.shareOf(*ForPrimary).Region.Value ==
            Zones[PrimaryZone].Region);
      CHECK(Entry.shareOf(*ForReads).AvailabilityZone.Value ==
            Zones[EntryZone].Name);
    }
}

TEST_CASE("routing: entries of another region spread over the gateways that "
          "serve a primary") {
  std::map<vm_id, int> Entries;
  constexpr int EntryCount = 300;
  for (int I = 0; I < EntryCount; ++I) {
    simulated_entry Entry(0, "entry-" + std::to_string(I));
    Entry.apply(viewOf(ZoneCount, 3));
    ++Entries[*Entry.target(true)];
  }
  REQUIRE(Entries.size() == 3u);
  for (const auto &[Vm, Count] : Entries)
    CHECK(Count > EntryCount / 6);
}

TEST_CASE("routing: links that grow with the number of gateways: an entry has "
          "at most three for a group") {
  for (int Gateways : {6, 12, 60, 600})
    for (std::size_t PrimaryZone = 0; PrimaryZone < ZoneCount; ++PrimaryZone) {
      simulated_entry Entry(1);
      Entry.apply(viewOf(Gateways, PrimaryZone));
      CHECK(Entry.Links.size() <= 3u);
      CHECK(Entry.Links.size() >= 2u);
    }
}

TEST_CASE("routing: a link that is no longer needed is closed after a while, "
          "but not under a transaction") {
  simulated_entry Entry(0);
  Entry.apply(viewOf(ZoneCount, 3));
  vm_id Distant = *Entry.target(true);
  routed_transaction Open;
  Open.Gateway = Distant;
  Entry.Routing.Transactions[transaction_id(1)] = Open;
  Entry.apply(viewOf(ZoneCount, 0));
  CHECK(Entry.Links.contains(Distant));
  Entry.advance(std::chrono::seconds(60));
  CHECK(Entry.Links.contains(Distant));
  Entry.Routing.Transactions.clear();
  Entry.advance(std::chrono::seconds(1));
  CHECK_FALSE(Entry.Links.contains(Distant));
  CHECK(Entry.target(true).has_value());
}

TEST_CASE("routing: a gateway that moves to another address gets a new link") {
  simulated_entry Entry(0);
  auto View = viewOf(ZoneCount, 0);
  Entry.apply(View);
  auto Links = Entry.Links;
  View.Gateways[0].Address.Port = 9999;
  Entry.apply(View);
  CHECK((Entry.Links == Links));
  CHECK((Entry.target(true) == View.Gateways[0].Vm));
}

TEST_CASE("routing: after any loss of gateways a group with a living gateway "
          "is reached") {
  // Each review adds at least one link, and there are at most 12 gateways.
  constexpr duration ReviewInterval = std::chrono::milliseconds(300);
  bool Passed = rc::check("living gateways are reached", [&] {
    int Gateways = *rc::gen::inRange(1, 13);
    simulated_entry Entry(*rc::gen::inRange<std::size_t>(0, ZoneCount));
    auto Vm = [&] {
      return vm_id("gateway-" + std::to_string(*rc::gen::inRange(0, Gateways)));
    };
    Entry.apply(viewOf(Gateways, 0));
    int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        Entry.kill(Vm());
        break;
      case 2:
        Entry.revive(Vm());
        break;
      case 3:
        Entry.apply(
            viewOf(Gateways, *rc::gen::inRange<std::size_t>(0, ZoneCount)));
        break;
      default:
        Entry.advance(std::chrono::milliseconds(*rc::gen::inRange(1, 20000)));
      }
    }
    for (int Review = 0; Review < Gateways; ++Review)
      Entry.advance(ReviewInterval);
    bool Lives = Entry.Dead.size() < static_cast<std::size_t>(Gateways);
    RC_ASSERT(Entry.target(false).has_value() == Lives);
    RC_ASSERT(Entry.target(true).has_value() == Lives);
    // With everything alive again, the links are those of a fresh entry.
    for (const auto &Dead : std::set<vm_id>(Entry.Dead))
      Entry.revive(Dead);
    Entry.advance(std::chrono::seconds(20));
    Entry.advance(std::chrono::seconds(20));
    RC_ASSERT(Entry.Links.size() <= 3u);
  });
  CHECK(Passed);
}
