#include "modules/line/even_load.h"

#include "core/error.h"

#include <algorithm>

namespace teasellock {

namespace {

error invalidValue(const std::string &Reason) {
  return error("settings.check", "", Reason);
}

void turnOn(even_load_settings &Settings, const std::string &Name) {
  if (Name == "positions")
    Settings.LearnPositions = true;
  else if (Name == "spread")
    Settings.SpreadReads = true;
  else if (Name == "reliability")
    Settings.AvoidUnreliable = true;
  else if (Name == "limit")
    Settings.AdaptLimit = true;
  else
    throw invalidValue(
        "must be a list of: positions, spread, reliability, limit");
}

} // namespace

even_load_settings parseEvenLoad(const std::string &Text) {
  even_load_settings Settings;
  for (std::size_t Start = 0; Start < Text.size();) {
    std::size_t End = std::min(Text.find(',', Start), Text.size());
    turnOn(Settings, Text.substr(Start, End - Start));
    Start = End + 1;
  }
  if (Settings.AvoidUnreliable && !Settings.SpreadReads)
    throw invalidValue("reliability needs spread");
  return Settings;
}

} // namespace teasellock
