#include "modules/admin/deployment_json.h"

#include "core/error.h"
#include "modules/deployment/consistency_name.h"

#include <nlohmann/json.hpp>

namespace teasellock {

namespace {

using nlohmann::json;

[[noreturn]] void throwFieldError(const std::string &Field) {
  throw error("deployment.read", Field, "is missing or invalid");
}

template <typename Value> Value read(const json &Object, const char *Field) {
  try {
    return Object.at(Field).get<Value>();
  } catch (const json::exception &) {
    throwFieldError(Field);
  }
}

const json &readList(const json &Object, const char *Field) {
  if (!Object.is_object() || !Object.contains(Field) ||
      !Object[Field].is_array())
    throwFieldError(Field);
  return Object[Field];
}

duration readDuration(const json &Object, const char *Field) {
  return fromMilliseconds(read<std::int64_t>(Object, Field));
}

route parseRoute(const json &Json) {
  route Route;
  Route.Name = read<std::string>(Json, "route");
  Route.Database = database_id(read<std::string>(Json, "database"));
  Route.Group = group_id(read<std::string>(Json, "group"));
  auto Consistency = findConsistency(read<std::string>(Json, "consistency"));
  if (!Consistency)
    throwFieldError("consistency");
  Route.Consistency = *Consistency;
  Route.MaxStaleness = readDuration(Json, "max_staleness_ms");
  Route.StatementTimeout = readDuration(Json, "timeout_ms");
  Route.TargetLatency = readDuration(Json, "target_ms");
  Route.Priority = read<std::uint32_t>(Json, "priority");
  Route.IsPublic = read<bool>(Json, "public");
  return Route;
}

group_limits parseGroup(const json &Json) {
  return {group_id(read<std::string>(Json, "group")),
          read<std::uint32_t>(Json, "max_connections"),
          read<std::uint32_t>(Json, "ack_replicas")};
}

organisation_summary parseOrganisation(const json &Json) {
  organisation_summary Organisation;
  Organisation.Name = organisation_id(read<std::string>(Json, "organisation"));
  Organisation.Keys = read<std::vector<std::string>>(Json, "keys");
  if (!read<json>(Json, "rate_per_s").is_null())
    Organisation.Limit = {read<double>(Json, "rate_per_s"),
                          read<double>(Json, "burst")};
  Organisation.Priority = read<std::uint32_t>(Json, "priority");
  return Organisation;
}

} // namespace

deployment_summary parseDeploymentInForce(const nlohmann::json &Json) {
  deployment_summary Summary;
  Summary.Version = deployment_version(read<std::uint64_t>(Json, "version"));
  Summary.IdleTransactionTimeout = readDuration(Json, "idle_transaction_ms");
  for (const auto &Route : readList(Json, "routes"))
    Summary.Routes.push_back(parseRoute(Route));
  for (const auto &Group : readList(Json, "groups"))
    Summary.Groups.push_back(parseGroup(Group));
  if (!Json.contains("organisations"))
    return Summary;
  auto &Organisations = Summary.Organisations.emplace();
  for (const auto &Organisation : readList(Json, "organisations"))
    Organisations.push_back(parseOrganisation(Organisation));
  return Summary;
}

} // namespace teasellock
