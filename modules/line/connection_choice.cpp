#include "modules/line/connection_choice.h"

#include <algorithm>

namespace teasellock {

namespace {

connection_use useOf(const connection_pool &Pool,
                     const organisation_id &Organisation) {
  auto Found = Pool.Uses->find(Organisation);
  return Found == Pool.Uses->end() ? connection_use() : Found->second;
}

std::uint32_t heldBy(const connection_use &Use) {
  return Use.InUse + Use.Opening;
}

std::uint32_t idleOf(const connection_pool &Pool,
                     const organisation_id &Organisation) {
  return static_cast<std::uint32_t>(std::count_if(
      Pool.Idle.begin(), Pool.Idle.end(), [&](const idle_connection &Idle) {
        return Idle.Organisation == Organisation;
      }));
}

bool hasUnused(const connection_pool &Pool,
               const organisation_id &Organisation) {
  return std::any_of(
      Pool.Idle.begin(), Pool.Idle.end(), [&](const idle_connection &Idle) {
        return Idle.IsUnused && Idle.Organisation == Organisation;
      });
}

/// Reports whether the organisation must leave connections to another one.
bool mustYield(const connection_pool &Pool,
               const organisation_id &Organisation) {
  std::uint32_t Held = heldBy(useOf(Pool, Organisation));
  if (Pool.IsOpeningDelayed || Held < fairShare(Pool))
    return false;
  return std::any_of(Pool.Uses->begin(), Pool.Uses->end(),
                     [&](const auto &Entry) {
                       const auto &[Name, Use] = Entry;
                       return Name != Organisation && heldBy(Use) < Held &&
                              Use.Waiting > Use.Opening + idleOf(Pool, Name);
                     });
}

/// Returns the index of the connection to close; the number of idle ones if
/// there is none.
std::size_t findVictim(const connection_pool &Pool) {
  // Unused connections that waiting statements are about to use, by
  // organisation.
  std::map<organisation_id, std::uint32_t> Awaited;
  for (const auto &[Name, Use] : *Pool.Uses)
    if (Use.Waiting > 0)
      Awaited[Name] = Use.Waiting;
  for (std::size_t Index = 0; Index < Pool.Idle.size(); ++Index) {
    const auto &Idle = Pool.Idle[Index];
    auto Found = Awaited.find(Idle.Organisation);
    bool IsAwaited =
        Idle.IsUnused && Found != Awaited.end() && Found->second > 0;
    if (!IsAwaited)
      return Index;
    --Found->second;
  }
  return Pool.Idle.size();
}

} // namespace

std::uint32_t fairShare(const connection_pool &Pool) {
  auto Contenders = static_cast<std::uint32_t>(std::count_if(
      Pool.Uses->begin(), Pool.Uses->end(), [](const auto &Entry) {
        return heldBy(Entry.second) + Entry.second.Waiting > 0;
      }));
  return std::max<std::uint32_t>(
      Pool.Limit / std::max<std::uint32_t>(Contenders, 1), 1);
}

connection_decision decideConnection(const connection_pool &Pool,
                                     const organisation_id &Organisation) {
  bool MayOpen = !Pool.OpensEnough && !Pool.IsOpeningDelayed;
  // The usual case under overload, in which this is called most often.
  if (Pool.Idle.empty() && (!MayOpen || Pool.Held >= Pool.Limit))
    return {connection_action::Wait, 0};
  // It was opened for a statement of the organisation when that was due.
  if (hasUnused(Pool, Organisation))
    return {connection_action::Use, 0};
  if (mustYield(Pool, Organisation))
    return {connection_action::Wait, 0};
  if (idleOf(Pool, Organisation) > 0)
    return {connection_action::Use, 0};
  auto Own = useOf(Pool, Organisation);
  // Its waiting statements have a connection coming for each of them.
  if (!MayOpen || Own.Opening >= std::max<std::uint32_t>(Own.Waiting, 1))
    return {connection_action::Wait, 0};
  auto Count = Pool.Held + static_cast<std::uint32_t>(Pool.Idle.size());
  if (Count < Pool.Limit)
    return {connection_action::Open, 0};
  // Above a limit that was lowered, closing makes no room.
  std::size_t Victim = Count > Pool.Limit ? Pool.Idle.size() : findVictim(Pool);
  if (Victim == Pool.Idle.size())
    return {connection_action::Wait, 0};
  return {connection_action::Replace, Victim};
}

} // namespace teasellock
