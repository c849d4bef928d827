#include "modules/table/table_schema.h"

#include "core/error.h"

#include <charconv>
#include <cmath>

namespace teasellock {

namespace {

constexpr std::uint32_t MostReplicas = 64;
constexpr std::uint32_t MostGateways = 64;
constexpr std::uint32_t MostConnections = 100000;
constexpr std::uint32_t MostQueued = 1000000;
constexpr std::int64_t MostMilliseconds = 24LL * 3600 * 1000;
constexpr std::int64_t LeastFailureMilliseconds = 100;
constexpr double MostWeight = 1000;
constexpr std::size_t LongestName = 63;

error badValue(const std::string &Column, const std::string &Text,
               const std::string &Reason) {
  return error("table.check", Column, "\"" + Text + "\" " + Reason);
}

std::int64_t parseNumber(const std::string &Column, const std::string &Text,
                         std::int64_t Least, std::int64_t Most) {
  std::int64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number < Least || Number > Most)
    throw badValue(Column, Text,
                   "must be a whole number from " + std::to_string(Least) +
                       " to " + std::to_string(Most));
  return Number;
}

void checkName(const std::string &Column, const std::string &Text) {
  bool Good = !Text.empty() && Text.size() <= LongestName;
  for (char Char : Text)
    Good =
        Good && ((Char >= 'a' && Char <= 'z') || (Char >= 'A' && Char <= 'Z') ||
                 (Char >= '0' && Char <= '9') || Char == '-' || Char == '_' ||
                 Char == '.');
  if (!Good)
    throw badValue(Column, Text,
                   "must be 1 to 63 letters, digits, '-', '_' or '.'");
}

std::map<std::string, double> parseWeights(const std::string &Column,
                                           const std::string &Text) {
  std::map<std::string, double> Weights;
  std::size_t Start = 0;
  while (Start < Text.size()) {
    std::size_t End = std::min(Text.find(';', Start), Text.size());
    std::string Item = Text.substr(Start, End - Start);
    std::size_t Equals = Item.find('=');
    if (Equals == std::string::npos)
      throw badValue(Column, Item, "must read name=weight");
    std::string Name = Item.substr(0, Equals);
    checkName(Column, Name);
    double Weight = 0;
    const char *Last = Item.data() + Item.size();
    auto [Stop, Status] =
        std::from_chars(Item.data() + Equals + 1, Last, Weight);
    if (Status != std::errc() || Stop != Last || !(Weight >= 0) ||
        Weight > MostWeight)
      throw badValue(Column, Item, "weight must be 0 to 1000");
    if (!Weights.emplace(Name, Weight).second)
      throw badValue(Column, Item, "names the same place twice");
    Start = End + 1;
  }
  return Weights;
}

std::string formatWeights(const std::map<std::string, double> &Weights) {
  std::string Text;
  for (const auto &[Name, Weight] : Weights) {
    char Number[32];
    auto Written = std::to_chars(Number, Number + sizeof(Number), Weight);
    Text += (Text.empty() ? "" : ";") + Name + "=" +
            std::string(Number, Written.ptr);
  }
  return Text;
}

table_column countColumn(const std::string &Name, const std::string &Meaning,
                         std::uint32_t table_row::*Field, std::uint32_t Least,
                         std::uint32_t Most) {
  return {Name, Meaning,
          [=](table_row &Row, const std::string &Text) {
            Row.*Field = static_cast<std::uint32_t>(
                parseNumber(Name, Text, Least, Most));
          },
          [=](const table_row &Row) { return std::to_string(Row.*Field); }};
}

table_column spanColumn(const std::string &Name, const std::string &Meaning,
                        duration table_row::*Field, std::int64_t Least) {
  return {Name, Meaning,
          [=](table_row &Row, const std::string &Text) {
            Row.*Field = fromMilliseconds(
                parseNumber(Name, Text, Least, MostMilliseconds));
          },
          [=](const table_row &Row) {
            return std::to_string(toMilliseconds(Row.*Field));
          }};
}

std::vector<table_column> makeColumns() {
  std::vector<table_column> Columns;
  Columns.push_back({"group", "name of the database group",
                     [](table_row &Row, const std::string &Text) {
                       checkName("group", Text);
                       Row.Group = group_id(Text);
                     },
                     [](const table_row &Row) { return Row.Group.Value; }});
  Columns.push_back(
      {"mode", "auto: the system acts; hand: it proposes and a person acts",
       [](table_row &Row, const std::string &Text) {
         if (Text != "auto" && Text != "hand")
           throw badValue("mode", Text, "must be auto or hand");
         Row.Mode =
             Text == "auto" ? operating_mode::Auto : operating_mode::Hand;
       },
       [](const table_row &Row) {
         return std::string(Row.Mode == operating_mode::Auto ? "auto" : "hand");
       }});
  Columns.push_back(
      countColumn("ack_replicas",
                  "replicas that have flushed a write before it is "
                  "acknowledged",
                  &table_row::AckReplicas, 0, MostReplicas));
  Columns.push_back(countColumn("gateways",
                                "VMs that hold connections to the upstreams",
                                &table_row::Gateways, 0, MostGateways));
  Columns.push_back(
      {"weights",
       "share of reads as name=weight;…, by upstream or availability zone",
       [](table_row &Row, const std::string &Text) {
         Row.Weights = parseWeights("weights", Text);
       },
       [](const table_row &Row) { return formatWeights(Row.Weights); }});
  Columns.push_back(countColumn(
      "max_connections", "connections to each upstream; 0: as announced",
      &table_row::MaxConnections, 0, MostConnections));
  Columns.push_back(countColumn(
      "max_slots", "statements at once on each upstream; 0: as announced",
      &table_row::MaxSlots, 0, MostConnections));
  Columns.push_back(countColumn(
      "queue_limit", "statements that may wait in one gateway's queue",
      &table_row::QueueLimit, 1, MostQueued));
  Columns.push_back(spanColumn("queue_ms",
                               "longest wait in that queue, in milliseconds",
                               &table_row::QueueTimeout, 1));
  Columns.push_back(spanColumn(
      "catchup_ms", "longest wait of a read for a replica to catch up",
      &table_row::CatchupTimeout, 0));
  Columns.push_back(
      spanColumn("failure_ms",
                 "how long a primary may be unreachable before it is "
                 "replaced",
                 &table_row::FailureTimeout, LeastFailureMilliseconds));
  Columns.push_back(spanColumn(
      "silence_ms", "how long a statement may be silent before it is checked",
      &table_row::SilenceTimeout, LeastFailureMilliseconds));
  return Columns;
}

} // namespace

const std::vector<table_column> &tableColumns() {
  static const std::vector<table_column> Columns = makeColumns();
  return Columns;
}

void setField(table_row &Row, const std::string &Column,
              const std::string &Text) {
  if (Column.starts_with(AgeColumnPrefix)) {
    std::string Kind = Column.substr(AgeColumnPrefix.size());
    checkName(Column, Kind);
    // An empty cell: the kind has no tolerated age in this row.
    if (Text.empty())
      Row.ReadAges.erase(read_kind(Kind));
    else
      Row.ReadAges[read_kind(Kind)] =
          fromMilliseconds(parseNumber(Column, Text, 0, MostMilliseconds));
    return;
  }
  for (const auto &Known : tableColumns())
    if (Known.Name == Column)
      return Known.Set(Row, Text);
  throw error("table.check", Column, "is no column of the table");
}

std::string checkRow(const table_row &Row) {
  if (Row.Group.Value.empty())
    return "group: must be given";
  if (Row.MaxConnections != 0 && Row.MaxConnections < Row.Gateways)
    return "max_connections: " + std::to_string(Row.MaxConnections) +
           " is less than one for each of the " + std::to_string(Row.Gateways) +
           " gateways";
  return "";
}

} // namespace teasellock
