#include "modules/admin/announcement_json.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

namespace teasellock {

namespace {

using nlohmann::json;

constexpr std::int64_t MostConnections = 100000;
constexpr std::size_t LongestName = 63;

error badField(const std::string &Field, const std::string &Reason) {
  return error("announce.check", Field, Reason);
}

std::string shortened(const json &Value) {
  return Value.dump(-1, ' ', true, json::error_handler_t::replace)
      .substr(0, LongestName);
}

std::string textField(const json &Object, const std::string &Field) {
  auto Found = Object.find(Field);
  if (Found == Object.end())
    throw badField(Field, "is missing");
  if (!Found->is_string() || Found->get_ref<const std::string &>().empty() ||
      Found->get_ref<const std::string &>().size() > LongestName)
    throw badField(Field, shortened(*Found) + " must be a text of 1 to 63 "
                                              "bytes");
  return Found->get<std::string>();
}

std::uint32_t countField(const json &Object, const std::string &Field) {
  auto Found = Object.find(Field);
  if (Found == Object.end())
    throw badField(Field, "is missing");
  if (!Found->is_number_integer() || Found->get<std::int64_t>() < 1 ||
      Found->get<std::int64_t>() > MostConnections)
    throw badField(Field, shortened(*Found) +
                              " must be a whole number from 1 to 100000");
  return Found->get<std::uint32_t>();
}

} // namespace

upstream_announcement parseAnnouncement(const std::string &Text) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    throw badField("body", "must be a JSON object");
  upstream_announcement Result;
  Result.Group = group_id(textField(Object, "group"));
  Result.Upstream = upstream_id(textField(Object, "upstream"));
  Result.Address = parseEndpoint(textField(Object, "address"));
  Result.AvailabilityZone =
      availability_zone_id(textField(Object, "availability_zone"));
  Result.Region = region_id(textField(Object, "region"));
  Result.Slots = countField(Object, "slots");
  Result.Connections = countField(Object, "connections");
  std::string State = textField(Object, "state");
  if (State != "serving" && State != "leaving")
    throw badField("state", "\"" + State + "\" must be serving or leaving");
  Result.Leaving = State == "leaving";
  return Result;
}

} // namespace teasellock
