#include "modules/deployment/deployment_patch.h"

#include "core/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

route routeOf(int Database, int TimeoutMs) {
  route Route;
  Route.Name = "r" + std::to_string(Database);
  Route.Database = database_id("d" + std::to_string(Database));
  Route.Group = group_id("g");
  Route.StatementTimeout = fromMilliseconds(TimeoutMs);
  return Route;
}

/// No organisations, or one with one of two limits.
std::optional<std::vector<organisation>> anyOrganisations() {
  int Kind = *rc::gen::inRange(0, 4);
  if (Kind == 0)
    return std::nullopt;
  std::vector<organisation> Organisations;
  if (Kind > 1) {
    auto &Added = Organisations.emplace_back();
    Added.Name = organisation_id("o");
    Added.Keys.push_back(key_digest("k"));
    Added.Limit = {static_cast<double>(Kind), 1};
  }
  return Organisations;
}

/// Any routes, some of one database, in any order.
deployment anyDeployment(std::uint64_t Version) {
  deployment Deployment;
  Deployment.Version = deployment_version(Version);
  Deployment.IdleTransactionTimeout =
      fromMilliseconds(*rc::gen::inRange(0, 3000));
  auto Databases =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
  for (int Database : Databases)
    Deployment.Routes.push_back(
        routeOf(Database, *rc::gen::inRange(1, 3) * 100));
  Deployment.Organisations = anyOrganisations();
  Deployment.Organisations = anyOrganisations();
  return Deployment;
}

std::size_t addedOrganisations(const wire::deployment_patch &Patch) {
  return Patch.organisations.entries.size();
}

std::size_t addedRoutes(const std::vector<wire::deployment_patch> &Patches) {
  std::size_t Count = 0;
  for (const auto &Patch : Patches)
    for (const auto &Piece : Patch.pieces)
      Count += Piece.added.size();
  return Count;
}

} // namespace

TEST_CASE("deployment: the patches since any version lead to the newest one, "
          "and are never larger than it") {
  bool Passed = rc::check("patches", [] {
    deployment_history History;
    std::vector<deployment> Versions;
    auto Count = *rc::gen::inRange<std::uint64_t>(1, 80);
    for (std::uint64_t Version = 1; Version <= Count; ++Version) {
      Versions.push_back(anyDeployment(2 * Version));
      recordVersion(History, Versions.back());
    }
    const deployment Newest = Versions.back();
    Versions.insert(Versions.begin(), deployment());
    for (auto Old : Versions) {
      auto Patches = patchesSince(History, Old.Version);
      std::size_t Added = addedRoutes(Patches);
      for (const auto &Patch : Patches)
        Added += addedOrganisations(Patch);
      RC_ASSERT(Added <=
                Newest.Routes.size() +
                    Newest.Organisations.value_or(std::vector<organisation>())
                        .size());
      for (const auto &Patch : Patches)
        applyPatch(Old, Patch);
      RC_ASSERT(Old == Newest);
    }
  });
  CHECK(Passed);
}

// Guards against a change of one route that costs as many bytes as all of them.
TEST_CASE("deployment: the patch of a changed, an added and a removed route "
          "contains two routes") {
  deployment Base;
  Base.Version = deployment_version(3);
  for (int Database = 0; Database < 1400; ++Database)
    Base.Routes.push_back(routeOf(Database, 800));
  deployment Next = Base;
  Next.Version = deployment_version(4);
  Next.Routes[700].StatementTimeout = fromMilliseconds(900);
  Next.Routes.insert(Next.Routes.begin() + 900, routeOf(5000, 800));
  Next.Routes.erase(Next.Routes.begin() + 200);
  auto Patch = makePatch(Base, Next);
  CHECK(addedRoutes({Patch}) == 2);
  CHECK(applyPatch(Base, Patch));
  CHECK((Base == Next));
}

TEST_CASE("deployment: a patch of another version, an older or a malformed one "
          "changes nothing") {
  deployment Base;
  Base.Version = deployment_version(3);
  Base.Routes.push_back(routeOf(1, 800));
  deployment Next = Base;
  Next.Version = deployment_version(5);
  auto Patch = makePatch(Base, Next);
  deployment Other = Base;
  Other.Version = deployment_version(4);
  CHECK_FALSE(applyPatch(Other, Patch));
  CHECK((Other.Version == deployment_version(4)));
  deployment Newer = Next;
  CHECK_FALSE(applyPatch(Newer, makePatch(deployment(), Base)));
  CHECK((Newer == Next));
  Patch.pieces.front().count = 2;
  CHECK_THROWS_AS(applyPatch(Base, Patch), error);
  CHECK((Base.Version == deployment_version(3)));
}

// Guards against a change of one route that sends all organisations, and
// against a version without organisations that keeps those of the one before.
TEST_CASE("deployment: a patch contains organisations only if they changed") {
  deployment Base;
  Base.Version = deployment_version(3);
  Base.Organisations.emplace();
  for (int Number = 0; Number < 83; ++Number)
    Base.Organisations->push_back(
        {organisation_id(std::to_string(Number)), {}, std::nullopt, 0});
  deployment Next = Base;
  Next.Version = deployment_version(4);
  auto Unchanged = makePatch(Base, Next);
  CHECK(addedOrganisations(Unchanged) == 0);
  CHECK(Unchanged.keeps_organisations);
  deployment Applied = Base;
  CHECK(applyPatch(Applied, Unchanged));
  CHECK((Applied == Next));
  Next.Organisations->pop_back();
  auto Changed = makePatch(Base, Next);
  CHECK(addedOrganisations(Changed) == 82);
  CHECK_FALSE(Changed.keeps_organisations);
  Next.Organisations.reset();
  auto Removed = makePatch(Base, Next);
  Applied = Base;
  CHECK(applyPatch(Applied, Removed));
  CHECK_FALSE(Applied.Organisations);
  // Such a patch would remove the need for keys.
  deployment Without = Base;
  Without.Organisations.reset();
  CHECK_THROWS_AS(applyPatch(Without, Unchanged), error);
}
