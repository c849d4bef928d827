#include "tests/soak/organisations.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace teasellock::soak {

namespace {

constexpr const char *HotName = "estacion";
constexpr const char *TwoKeysName = "jardin";
constexpr const char *LowName = "cantera";
/// Callers of the hot organisation among the callers that take turns.
constexpr std::size_t HotCallers = 4;
constexpr std::size_t ChangingKeyCount = 3;

} // namespace

organisation_roster::organisation_roster(std::uint64_t Seed) : Random(Seed) {
  std::string Hot = makeKey();
  std::string First = makeKey();
  std::string Second = makeKey();
  std::string Low = makeKey();
  Holders = {{Hot, HotName},
             {First, TwoKeysName},
             {Second, TwoKeysName},
             {Low, LowName}};
  CallerKeys.assign(HotCallers, Hot);
  CallerKeys.insert(CallerKeys.end(), {First, Second, Second, Low});
  // A key that no version has.
  CallerKeys.push_back(makeKey());
  for (std::size_t Index = 0; Index < ChangingKeyCount; ++Index)
    ChangingKeys.push_back(makeKey());
  CallerKeys.insert(CallerKeys.end(), ChangingKeys.begin(), ChangingKeys.end());
  // The last one is added later.
  Holders[ChangingKeys[0]] = TwoKeysName;
  Holders[ChangingKeys[1]] = HotName;
}

std::string organisation_roster::makeKey() {
  return KeyMarker + std::to_string(Random());
}

const std::vector<organisation_plan> &
organisation_roster::organisations() const {
  // Callers of the first and the last ask for several times the rate.
  static const std::vector<organisation_plan> Plans{
      {HotName, 60, 60}, {TwoKeysName, 150, 50}, {LowName, 5, 5}};
  return Plans;
}

const std::string &organisation_roster::keyOf(std::size_t Caller) const {
  return CallerKeys[Caller % CallerKeys.size()];
}

double organisation_roster::moderateRateOf(std::size_t Caller,
                                           std::size_t Callers) const {
  auto HolderOf = [&](std::size_t Index) {
    auto Found = Holders.find(keyOf(Index));
    return Found == Holders.end() ? std::string() : Found->second;
  };
  std::size_t Sharing = 0;
  for (std::size_t Index = 0; Index < Callers; ++Index)
    Sharing += HolderOf(Index) == HolderOf(Caller) ? 1 : 0;
  for (const auto &Plan : organisations())
    if (Plan.Name == HolderOf(Caller))
      return Plan.Rate / 2 / static_cast<double>(Sharing);
  return 0;
}

/// Gives a key to another organisation than it has.
void organisation_roster::moveKey(const std::string &Key) {
  const auto &Plans = organisations();
  auto Found = Holders.find(Key);
  std::string Before = Found == Holders.end() ? std::string() : Found->second;
  std::size_t Index = Random() % Plans.size();
  if (Plans[Index].Name == Before)
    Index = (Index + 1) % Plans.size();
  Holders[Key] = Plans[Index].Name;
}

void organisation_roster::changeKey() {
  const auto &Key = ChangingKeys[Random() % ChangingKeys.size()];
  if (Holders.contains(Key) && Random() % 2 == 0)
    Holders.erase(Key);
  else
    moveKey(Key);
}

void organisation_roster::changeKeys() {
  bool HasRemoved = false;
  for (const auto &Key : ChangingKeys) {
    if (Holders.contains(Key) && !HasRemoved)
      HasRemoved = Holders.erase(Key) > 0;
    else
      moveKey(Key);
  }
}

void organisation_roster::restoreKeys() {
  for (const auto &Key : ChangingKeys)
    Holders[Key] = TwoKeysName;
}

nlohmann::json tenantsJson(const std::vector<organisation_plan> &Organisations,
                           const key_holders &Holders) {
  auto Tenants = nlohmann::json::array();
  for (const auto &Plan : Organisations) {
    auto Keys = nlohmann::json::array();
    for (const auto &[Key, Holder] : Holders)
      if (Holder == Plan.Name)
        Keys.push_back(Key);
    Tenants.push_back({{"name", Plan.Name},
                       {"api_keys", Keys},
                       {"priority", 1},
                       {"rate_per_s", Plan.Rate},
                       {"burst", Plan.Burst}});
  }
  return Tenants;
}

} // namespace teasellock::soak
