#include "modules/table/table_schema.h"

#include "core/error.h"

#include <charconv>
#include <cmath>

namespace teasellock {

namespace {

constexpr std::uint32_t MaxReplicas = 64;
constexpr std::uint32_t MaxGateways = 64;
constexpr std::uint32_t MaxConnectionLimit = 100000;
constexpr std::uint32_t MaxQueueLimit = 1000000;
constexpr std::int64_t MaxMilliseconds = 24LL * 3600 * 1000;
constexpr std::int64_t MinFailureMilliseconds = 100;
constexpr double MaxWeight = 1000;
constexpr std::size_t MaxNameLength = 63;

error invalidValue(const std::string &Column, const std::string &Text,
                   const std::string &Reason) {
  return error("table.check", Column, "\"" + Text + "\" " + Reason);
}

std::int64_t parseNumber(const std::string &Column, const std::string &Text,
                         std::int64_t Min, std::int64_t Max) {
  std::int64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number < Min || Number > Max)
    throw invalidValue(Column, Text,
                       "must be a whole number from " + std::to_string(Min) +
                           " to " + std::to_string(Max));
  return Number;
}

void checkName(const std::string &Column, const std::string &Text) {
  bool IsValid = !Text.empty() && Text.size() <= MaxNameLength;
  for (char Char : Text)
    IsValid = IsValid &&
              ((Char >= 'a' && Char <= 'z') || (Char >= 'A' && Char <= 'Z') ||
               (Char >= '0' && Char <= '9') || Char == '-' || Char == '_' ||
               Char == '.');
  if (!IsValid)
    throw invalidValue(Column, Text,
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
      throw invalidValue(Column, Item, "must have the form name=weight");
    std::string Name = Item.substr(0, Equals);
    checkName(Column, Name);
    double Weight = 0;
    const char *Last = Item.data() + Item.size();
    auto [NumberEnd, Status] =
        std::from_chars(Item.data() + Equals + 1, Last, Weight);
    if (Status != std::errc() || NumberEnd != Last || !(Weight >= 0) ||
        Weight > MaxWeight)
      throw invalidValue(Column, Item, "weight must be 0 to 1000");
    if (!Weights.emplace(Name, Weight).second)
      throw invalidValue(Column, Item, "names the same upstream or zone twice");
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

table_column countColumn(const std::string &Name,
                         const std::string &Description,
                         std::uint32_t table_row::*Field, std::uint32_t Min,
                         std::uint32_t Max) {
  return {Name, Description,
          [=](table_row &Row, const std::string &Text) {
            Row.*Field =
                static_cast<std::uint32_t>(parseNumber(Name, Text, Min, Max));
          },
          [=](const table_row &Row) { return std::to_string(Row.*Field); }};
}

table_column durationColumn(const std::string &Name,
                            const std::string &Description,
                            duration table_row::*Field, std::int64_t Min) {
  return {Name, Description,
          [=](table_row &Row, const std::string &Text) {
            Row.*Field =
                fromMilliseconds(parseNumber(Name, Text, Min, MaxMilliseconds));
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
      {"mode", "auto: decisions are executed; hand: they wait for approval",
       [](table_row &Row, const std::string &Text) {
         if (Text != "auto" && Text != "hand")
           throw invalidValue("mode", Text, "must be auto or hand");
         Row.Mode =
             Text == "auto" ? operating_mode::Auto : operating_mode::Manual;
       },
       [](const table_row &Row) {
         return std::string(Row.Mode == operating_mode::Auto ? "auto" : "hand");
       }});
  Columns.push_back(
      countColumn("ack_replicas",
                  "replicas that must have flushed a write before it is "
                  "acknowledged",
                  &table_row::AckReplicas, 0, MaxReplicas));
  Columns.push_back(countColumn("gateways",
                                "VMs that hold connections to the upstreams",
                                &table_row::GatewayCount, 0, MaxGateways));
  Columns.push_back(
      {"weights",
       "weights of reads as name=weight;…, by upstream or availability zone",
       [](table_row &Row, const std::string &Text) {
         Row.ReadWeights = parseWeights("weights", Text);
       },
       [](const table_row &Row) { return formatWeights(Row.ReadWeights); }});
  Columns.push_back(countColumn(
      "max_connections", "connections to each upstream; 0: as announced",
      &table_row::MaxConnections, 0, MaxConnectionLimit));
  Columns.push_back(countColumn(
      "max_slots", "concurrent statements on each upstream; 0: as announced",
      &table_row::MaxSlots, 0, MaxConnectionLimit));
  Columns.push_back(countColumn(
      "queue_limit", "statements that may wait in one gateway's queue",
      &table_row::QueueLimit, 1, MaxQueueLimit));
  Columns.push_back(
      durationColumn("queue_ms", "maximum time in that queue, in milliseconds",
                     &table_row::QueueTimeout, 1));
  Columns.push_back(durationColumn(
      "catchup_ms", "maximum time a read waits for a replica to catch up",
      &table_row::CatchupTimeout, 0));
  Columns.push_back(
      durationColumn("failure_ms",
                     "how long a primary may be unreachable before it is "
                     "replaced",
                     &table_row::FailureTimeout, MinFailureMilliseconds));
  Columns.push_back(durationColumn(
      "silence_ms",
      "how long a statement may run unanswered before it is checked",
      &table_row::SilenceTimeout, MinFailureMilliseconds));
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
    // An empty cell means that the row has no tolerated age for this kind.
    if (Text.empty())
      Row.MaxReadAges.erase(read_kind(Kind));
    else
      Row.MaxReadAges[read_kind(Kind)] =
          fromMilliseconds(parseNumber(Column, Text, 0, MaxMilliseconds));
    return;
  }
  for (const auto &Candidate : tableColumns())
    if (Candidate.Name == Column)
      return Candidate.SetField(Row, Text);
  throw error("table.check", Column, "is not a column of the table");
}

std::string checkRow(const table_row &Row) {
  if (Row.Group.Value.empty())
    return "group: must be given";
  if (Row.MaxConnections != 0 && Row.MaxConnections < Row.GatewayCount)
    return "max_connections: " + std::to_string(Row.MaxConnections) +
           " is less than one for each of the " +
           std::to_string(Row.GatewayCount) + " gateways";
  return "";
}

} // namespace teasellock
