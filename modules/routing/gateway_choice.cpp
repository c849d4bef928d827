#include "modules/routing/gateway_choice.h"

#include <algorithm>
#include <tuple>

namespace teasellock {

namespace {

/// Usable links for reads: the one in use and a spare one.
constexpr std::size_t ReadLinks = 2;
/// Usable links for the primary's statements. Those for reads are their spares.
constexpr std::size_t PrimaryLinks = 1;

/// Returns the order of preference between gateways, whatever their state;
/// smaller is better.
auto placeOf(const gateway_option &Option, bool NeedsPrimary) {
  return std::tuple(NeedsPrimary && !Option.ServesPrimary, Option.Distance);
}

/// Adds the best gateways until as many of them as wanted are usable.
void addLinks(std::vector<gateway_option> Options, bool NeedsPrimary,
              std::size_t Wanted, std::set<vm_id> &Links) {
  std::sort(Options.begin(), Options.end(),
            [&](const gateway_option &Left, const gateway_option &Right) {
              return std::tuple(placeOf(Left, NeedsPrimary), Left.SpreadRank) <
                     std::tuple(placeOf(Right, NeedsPrimary), Right.SpreadRank);
            });
  std::size_t Usable = 0;
  for (const auto &Option : Options) {
    if (Usable == Wanted)
      return;
    Links.insert(Option.Vm);
    Usable += !Option.HasFailed;
  }
}

} // namespace

std::uint64_t spreadRank(const vm_id &Entry, const vm_id &Gateway) {
  // FNV-1a, so that all builds agree.
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const auto &Text : {Entry.Value, Gateway.Value})
    for (unsigned char Byte : Text + '/')
      Hash = (Hash ^ Byte) * 0x100000001b3ULL;
  return Hash ^ (Hash >> 29);
}

const gateway_option *chooseGateway(const std::vector<gateway_option> &Options,
                                    bool NeedsPrimary) {
  auto RankOf = [&](const gateway_option &Option) {
    return std::tuple(Option.IsAvoided, placeOf(Option, NeedsPrimary),
                      Option.InFlight, Option.SpreadRank);
  };
  const gateway_option *Best = nullptr;
  for (const auto &Option : Options)
    if (Option.IsOpen && (!Best || RankOf(Option) < RankOf(*Best)))
      Best = &Option;
  return Best;
}

std::set<vm_id> neededLinks(const std::vector<gateway_option> &Options) {
  std::set<vm_id> Links;
  addLinks(Options, false, ReadLinks, Links);
  addLinks(Options, true, PrimaryLinks, Links);
  return Links;
}

} // namespace teasellock
