/// The organisations of a deployment: their limits, their keys, and the keys
/// that callers present.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

namespace teasellock::soak {

/// Part of every key of a run, so that a text can be searched for all of them.
inline constexpr const char *KeyMarker = "soakkey";

/// An organisation and its limit.
struct organisation_plan {
  std::string Name;
  /// Operations per second.
  double Rate = 0;
  double Burst = 0;
};

/// The organisation of each key in one version of the deployment. Keys that the
/// version doesn't know are missing.
using key_holders = std::map<std::string, std::string>;

/// The organisations of a run. One is hotter than the others, one has a low
/// rate, one has two keys.
class organisation_roster {
public:
  explicit organisation_roster(std::uint64_t Seed);

  const std::vector<organisation_plan> &organisations() const;
  /// Returns the key that a caller presents; some present one that no version
  /// of the deployment has.
  const std::string &keyOf(std::size_t Caller) const;
  /// Returns the operations per second that a caller may start so that no
  /// organisation reaches half of its limit; zero: no organisation counts them.
  double moderateRateOf(std::size_t Caller, std::size_t Callers) const;

  const key_holders &holders() const { return Holders; }

  /// Removes, moves or adds a random one of the keys that change.
  void changeKey();
  /// Removes one of the keys that change, moves or adds the others.
  void changeKeys();
  /// Gives all keys that change to one organisation.
  void restoreKeys();

private:
  std::string makeKey();
  void moveKey(const std::string &Key);

  std::mt19937_64 Random;
  /// Keys of the callers, in turns.
  std::vector<std::string> CallerKeys;
  /// Keys that later versions remove, move or add.
  std::vector<std::string> ChangingKeys;
  key_holders Holders;
};

/// Returns the organisations as the platform's configuration has them.
nlohmann::json tenantsJson(const std::vector<organisation_plan> &Organisations,
                           const key_holders &Holders);

} // namespace teasellock::soak
