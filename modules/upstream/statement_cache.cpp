#include "modules/upstream/statement_cache.h"

namespace teasellock {

namespace {

std::string keyOf(const std::string &Sql,
                  const std::vector<std::int32_t> &Types) {
  std::string Key = Sql;
  Key += '\0';
  Key.append(reinterpret_cast<const char *>(Types.data()),
             Types.size() * sizeof(std::int32_t));
  return Key;
}

} // namespace

const std::string *
statement_cache::find(const std::string &Sql,
                      const std::vector<std::int32_t> &Types) {
  auto Found = ByKey.find(keyOf(Sql, Types));
  if (Found == ByKey.end())
    return nullptr;
  Entries.splice(Entries.begin(), Entries, Found->second);
  return &Found->second->Name;
}

std::string statement_cache::add(const std::string &Sql,
                                 const std::vector<std::int32_t> &Types) {
  std::string Name = "teasellock_" + std::to_string(++Created);
  std::string Key = keyOf(Sql, Types);
  Entries.push_front({Key, Name});
  ByKey[Key] = Entries.begin();
  return Name;
}

std::optional<std::string> statement_cache::evict() {
  if (Entries.size() <= Limit)
    return std::nullopt;
  entry Oldest = std::move(Entries.back());
  Entries.pop_back();
  ByKey.erase(Oldest.Key);
  return Oldest.Name;
}

void statement_cache::remove(const std::string &Name) {
  for (auto Entry = Entries.begin(); Entry != Entries.end(); ++Entry) {
    if (Entry->Name != Name)
      continue;
    ByKey.erase(Entry->Key);
    Entries.erase(Entry);
    return;
  }
}

void statement_cache::clear() {
  Entries.clear();
  ByKey.clear();
}

} // namespace teasellock
