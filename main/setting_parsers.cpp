#include "main/setting_parsers.h"

#include <charconv>

namespace teasellock {

namespace {

constexpr std::int64_t MaxMilliseconds = 3600 * 1000;

/// Splits at commas; keeps empty parts.
std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Result;
  std::size_t Start = 0;
  while (Start <= Text.size()) {
    std::size_t End = std::min(Text.find(',', Start), Text.size());
    Result.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Result;
}

} // namespace

error invalidValue(const std::string &Reason) {
  return error("settings.check", "", Reason);
}

duration parseDuration(const std::string &Text, std::int64_t Min) {
  std::int64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number < Min ||
      Number > MaxMilliseconds)
    throw invalidValue("must be " + std::to_string(Min) + " to " +
                       std::to_string(MaxMilliseconds) + " milliseconds");
  return fromMilliseconds(Number);
}

double parseRatio(const std::string &Text) {
  double Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || !(Number >= 0 && Number <= 1))
    throw invalidValue("must be 0 to 1");
  return Number;
}

bool parseBoolean(const std::string &Text) {
  if (Text == "on" || Text == "true")
    return true;
  if (Text == "off" || Text == "false")
    return false;
  throw invalidValue("must be on or off");
}

std::string parseName(const std::string &Text) {
  if (Text.empty())
    throw invalidValue("must be given");
  for (char Char : Text)
    if (!std::isalnum(static_cast<unsigned char>(Char)) && Char != '-' &&
        Char != '_' && Char != '.')
      throw invalidValue("must be letters, digits, '-', '_' or '.'");
  return Text;
}

endpoint parseAddress(const std::string &Text) {
  if (Text.empty())
    throw invalidValue("must be given as address:port");
  return parseEndpoint(Text);
}

std::vector<endpoint> parseAddresses(const std::string &Text) {
  std::vector<endpoint> Result;
  for (const auto &Part : splitAtCommas(Text))
    Result.push_back(parseAddress(Part));
  return Result;
}

std::map<availability_zone_id, region_id>
parseRegions(const std::string &Text) {
  std::map<availability_zone_id, region_id> Result;
  if (Text.empty())
    return Result;
  for (const auto &Pair : splitAtCommas(Text)) {
    std::size_t Separator = Pair.find('=');
    if (Separator == std::string::npos)
      throw invalidValue("must be comma-separated zone=region pairs");
    Result[availability_zone_id(parseName(Pair.substr(0, Separator)))] =
        region_id(parseName(Pair.substr(Separator + 1)));
  }
  return Result;
}

std::size_t parseCount(const std::string &Text, std::size_t Max) {
  std::size_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number > Max)
    throw invalidValue("must be a whole number up to " + std::to_string(Max));
  return Number;
}

std::size_t parseCountOrNone(const std::string &Text, std::size_t Max) {
  return Text.empty() ? 0 : parseCount(Text, Max);
}

} // namespace teasellock
