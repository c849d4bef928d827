#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace teasellock {

/// The names of the statements prepared on one connection, by SQL text and
/// parameter types. An LRU cache.
class statement_cache {
public:
  /// Limit: the number of statements that evict() leaves.
  explicit statement_cache(std::size_t Limit) : Limit(Limit) {}

  /// Returns the name of a prepared statement, or null, and marks it as used.
  const std::string *find(const std::string &Sql,
                          const std::vector<std::int32_t> &Types);

  /// Adds a statement and returns its new name.
  std::string add(const std::string &Sql,
                  const std::vector<std::int32_t> &Types);

  /// Removes the least recently used statement if there are more than the
  /// limit. Returns its name, for it has to be deallocated.
  std::optional<std::string> evict();

  /// Removes a statement by its name.
  void remove(const std::string &Name);

  void clear();

  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    std::string Key;
    std::string Name;
  };

  std::size_t Limit;
  std::uint64_t Created = 0;
  /// Most recently used first.
  std::list<entry> Entries;
  std::unordered_map<std::string, std::list<entry>::iterator> ByKey;
};

} // namespace teasellock
