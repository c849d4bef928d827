#include "modules/admin/announcement_json.h"

#include "core/error.h"
#include "core/text_check.h"

#include <nlohmann/json.hpp>

namespace teasellock {

namespace {

using nlohmann::json;

constexpr std::int64_t MaxConnections = 100000;
constexpr std::size_t MaxTextBytes = 63;

error invalidField(const std::string &Field, const std::string &Reason) {
  return error("announce.check", Field, Reason);
}

std::string truncatedJson(const json &Value) {
  return Value.dump(-1, ' ', true, json::error_handler_t::replace)
      .substr(0, MaxTextBytes);
}

std::string readString(const json &Object, const std::string &Field) {
  auto Found = Object.find(Field);
  if (Found == Object.end())
    throw invalidField(Field, "is missing");
  if (!Found->is_string() || Found->get_ref<const std::string &>().empty() ||
      Found->get_ref<const std::string &>().size() > MaxTextBytes)
    throw invalidField(Field, truncatedJson(*Found) +
                                  " must be a string of 1 to 63 "
                                  "bytes");
  return Found->get<std::string>();
}

/// The text becomes a part of messages to upstreams, log lines and metrics.
std::string readName(const json &Object, const std::string &Field) {
  std::string Name = readString(Object, Field);
  if (!isName(Name))
    throw invalidField(Field, truncatedJson(Name) +
                                  " must be printable ASCII without a space");
  return Name;
}

std::uint32_t readCount(const json &Object, const std::string &Field) {
  auto Found = Object.find(Field);
  if (Found == Object.end())
    throw invalidField(Field, "is missing");
  if (!Found->is_number_integer() || Found->get<std::int64_t>() < 1 ||
      Found->get<std::int64_t>() > MaxConnections)
    throw invalidField(Field, truncatedJson(*Found) +
                                  " must be a whole number from 1 to 100000");
  return Found->get<std::uint32_t>();
}

} // namespace

upstream_announcement parseAnnouncement(const std::string &Text) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    throw invalidField("body", "must be a JSON object");
  upstream_announcement Result;
  Result.Group = group_id(readName(Object, "group"));
  Result.Upstream = upstream_id(readName(Object, "upstream"));
  Result.Address = parseEndpoint(readString(Object, "address"));
  Result.AvailabilityZone =
      availability_zone_id(readName(Object, "availability_zone"));
  Result.Region = region_id(readName(Object, "region"));
  Result.Slots = readCount(Object, "slots");
  Result.Connections = readCount(Object, "connections");
  std::string State = readString(Object, "state");
  if (State != "serving" && State != "leaving")
    throw invalidField("state", "\"" + State + "\" must be serving or leaving");
  Result.Leaving = State == "leaving";
  return Result;
}

} // namespace teasellock
