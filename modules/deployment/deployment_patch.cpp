#include "modules/deployment/deployment_patch.h"

#include "core/error.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace teasellock {

namespace {

/// Patches kept, however small they are.
constexpr std::size_t MaxPatches = 64;

using route_index = std::unordered_map<std::string_view, std::size_t>;

/// Maps each database to its first route.
route_index indexRoutes(const std::vector<route> &Routes) {
  route_index Index;
  for (std::size_t I = 0; I < Routes.size(); ++I)
    Index.emplace(Routes[I].Database.Value, I);
  return Index;
}

/// Builds the pieces of a patch from the routes of the new version in order.
struct patch_builder {
  const std::vector<route> &Base;
  std::vector<wire::deployment_piece> Pieces;
  /// The base route after the last one that was copied.
  std::size_t Next = 0;

  bool isBaseRoute(std::size_t At, const route &Route) const {
    return At < Base.size() && Base[At] == Route;
  }

  void copy(std::size_t At) {
    bool Continues =
        !Pieces.empty() && At == Next && Pieces.back().added.empty();
    if (!Continues) {
      Pieces.emplace_back();
      Pieces.back().first = static_cast<std::int32_t>(At);
    }
    ++Pieces.back().count;
    Next = At + 1;
  }

  void add(const route &Route) {
    if (Pieces.empty())
      Pieces.emplace_back();
    Pieces.back().added.push_back(toWire(Route));
  }
};

/// Returns the number of routes and organisations that the patch contains.
std::size_t entryCount(const wire::deployment_patch &Patch) {
  std::size_t Count = Patch.organisations.entries.size();
  for (const auto &Piece : Patch.pieces)
    Count += Piece.added.size();
  return Count;
}

std::size_t entryCount(const deployment &Deployment) {
  const auto &Organisations = Deployment.Organisations;
  return Deployment.Routes.size() + (Organisations ? Organisations->size() : 0);
}

deployment_version baseOf(const wire::deployment_patch &Patch) {
  return deployment_version(static_cast<std::uint64_t>(Patch.base_version));
}

/// Throws error unless the piece copies routes that the base has.
void checkPiece(const wire::deployment_piece &Piece, std::size_t BaseSize) {
  if (Piece.first < 0 || Piece.count < 0 ||
      static_cast<std::size_t>(Piece.first) +
              static_cast<std::size_t>(Piece.count) >
          BaseSize)
    throw error("deployment.patch", std::to_string(Piece.first),
                "the base has only " + std::to_string(BaseSize) + " routes");
}

} // namespace

wire::deployment_patch makePatch(const deployment &Base,
                                 const deployment &Next) {
  route_index Index = indexRoutes(Base.Routes);
  patch_builder Builder{Base.Routes, {}, 0};
  for (const auto &Route : Next.Routes) {
    if (Builder.isBaseRoute(Builder.Next, Route)) {
      Builder.copy(Builder.Next);
      continue;
    }
    auto Found = Index.find(Route.Database.Value);
    if (Found != Index.end() && Builder.isBaseRoute(Found->second, Route))
      Builder.copy(Found->second);
    else
      Builder.add(Route);
  }
  wire::deployment_patch Patch;
  Patch.base_version = static_cast<std::int64_t>(Base.Version.Value);
  Patch.version = static_cast<std::int64_t>(Next.Version.Value);
  Patch.pieces = std::move(Builder.Pieces);
  Patch.idle_transaction_ms = toMilliseconds(Next.IdleTransactionTimeout);
  if (Next.Organisations && Next.Organisations == Base.Organisations)
    Patch.keeps_organisations = true;
  else if (Next.Organisations)
    Patch.__set_organisations(toWire(*Next.Organisations));
  return Patch;
}

bool applyPatch(deployment &Deployment, const wire::deployment_patch &Patch) {
  deployment_version Version(static_cast<std::uint64_t>(Patch.version));
  bool IsFull = baseOf(Patch) == deployment_version();
  if (Version <= Deployment.Version ||
      (!IsFull && baseOf(Patch) != Deployment.Version))
    return false;
  // Without this check a malformed patch would remove the need for keys.
  if (Patch.keeps_organisations && (IsFull || !Deployment.Organisations))
    throw error("deployment.patch", toString(Version),
                "the base has no organisations to keep");
  deployment Next;
  Next.Version = Version;
  Next.IdleTransactionTimeout = fromMilliseconds(Patch.idle_transaction_ms);
  std::size_t BaseSize = IsFull ? 0 : Deployment.Routes.size();
  for (const auto &Piece : Patch.pieces) {
    checkPiece(Piece, BaseSize);
    auto First = Deployment.Routes.begin() + Piece.first;
    Next.Routes.insert(Next.Routes.end(), First, First + Piece.count);
    for (const auto &Route : Piece.added)
      Next.Routes.push_back(fromWire(Route));
  }
  if (Patch.keeps_organisations)
    Next.Organisations = std::move(Deployment.Organisations);
  else if (Patch.__isset.organisations)
    Next.Organisations = fromWire(Patch.organisations);
  Deployment = std::move(Next);
  return true;
}

void recordVersion(deployment_history &History, const deployment &Next) {
  auto &Patches = History.Patches;
  Patches.push_back(makePatch(History.Newest, Next));
  History.Newest = Next;
  std::size_t Added = 0;
  std::size_t Whole = entryCount(Next);
  std::size_t Useful = 0;
  for (auto Patch = Patches.rbegin();
       Patch != Patches.rend() && Useful < MaxPatches; ++Patch, ++Useful) {
    Added += entryCount(*Patch);
    if (Added > Whole)
      break;
  }
  Patches.erase(Patches.begin(),
                Patches.end() - static_cast<std::ptrdiff_t>(Useful));
}

std::vector<wire::deployment_patch>
patchesSince(const deployment_history &History, deployment_version Base) {
  auto First =
      std::find_if(History.Patches.begin(), History.Patches.end(),
                   [&](const auto &Patch) { return baseOf(Patch) == Base; });
  if (Base == deployment_version() || First == History.Patches.end())
    return {makePatch(deployment(), History.Newest)};
  return {First, History.Patches.end()};
}

} // namespace teasellock
