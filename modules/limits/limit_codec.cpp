#include "modules/limits/limit_codec.h"

#include "core/error.h"
#include "modules/limits/gen/limit_messages_types.h"
#include "modules/limits/limit_shares.h"
#include "modules/link/codec.h"

#include <algorithm>
#include <limits>

namespace teasellock {

namespace {

std::uint32_t toCount(std::int32_t Value) {
  return static_cast<std::uint32_t>(std::max(Value, 0));
}

std::int32_t toWireCount(std::uint32_t Value) {
  constexpr std::uint32_t Max = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(Value, Max));
}

std::int64_t toWireTime(time_point At) { return At.time_since_epoch().count(); }

time_point fromWireTime(std::int64_t Microseconds) {
  return time_point(duration(Microseconds));
}

std::uint32_t parseShare(std::int32_t Value, const std::string &Peer) {
  if (Value < 0 || static_cast<std::uint32_t>(Value) >= LimitShares)
    throw error("limits.decode", Peer,
                "share " + std::to_string(Value) + " does not exist");
  return static_cast<std::uint32_t>(Value);
}

} // namespace

std::string encodeLimitRequest(const limit_request &Request) {
  wire::limit_request Message;
  Message.organisation = Request.Organisation.Value;
  Message.wanted = toWireCount(Request.Demand.Wanted);
  Message.waiting = toWireCount(Request.Demand.Waiting);
  Message.returned = toWireCount(Request.Demand.Returned);
  Message.sent_at_us = toWireTime(Request.Demand.SentAt);
  Message.share = static_cast<std::int32_t>(Request.Share);
  return encode(Message);
}

std::string encodeLimitGrant(const limit_grant &Grant) {
  wire::limit_grant Message;
  Message.organisation = Grant.Organisation.Value;
  Message.granted = toWireCount(Grant.Answer.Granted);
  Message.limiter_ok = Grant.Answer.IsLimiter;
  Message.sent_at_us = toWireTime(Grant.Answer.SentAt);
  Message.share = static_cast<std::int32_t>(Grant.Share);
  return encode(Message);
}

limit_request parseLimitRequest(const std::string &Body,
                                const std::string &Peer) {
  auto Message = decode<wire::limit_request>(Body, Peer);
  return {organisation_id(Message.organisation),
          parseShare(Message.share, Peer),
          {toCount(Message.wanted), toCount(Message.waiting),
           toCount(Message.returned), fromWireTime(Message.sent_at_us)}};
}

limit_grant parseLimitGrant(const std::string &Body) {
  auto Message = decode<wire::limit_grant>(Body, "limiter");
  return {organisation_id(Message.organisation),
          parseShare(Message.share, "limiter"),
          {toCount(Message.granted), Message.limiter_ok,
           fromWireTime(Message.sent_at_us)}};
}

} // namespace teasellock
