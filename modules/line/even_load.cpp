#include "modules/line/even_load.h"

#include "core/error.h"

#include <algorithm>

namespace teasellock {

namespace {

void turnOn(even_load_settings &Settings, const std::string &Name) {
  if (Name == "positions")
    Settings.LearnPositions = true;
  else if (Name == "spread")
    Settings.SpreadReads = true;
  else
    throw error("settings.check", "", "must be a list of: positions, spread");
}

} // namespace

even_load_settings parseEvenLoad(const std::string &Text) {
  even_load_settings Settings;
  for (std::size_t Start = 0; Start < Text.size();) {
    std::size_t End = std::min(Text.find(',', Start), Text.size());
    turnOn(Settings, Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Settings;
}

} // namespace teasellock
