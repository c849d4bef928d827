#include "modules/consensus/tests/fake_disk.h"

#include "core/error.h"

#include <set>

namespace teasellock {

void fake_disk::countOperation() {
  if (OperationsLeft == 0)
    throw power_loss();
  if (OperationsLeft > 0)
    --OperationsLeft;
}

file_system fake_disk::files() {
  file_system Files;
  Files.MakeFolder = [](const std::string &) {};
  Files.Lock = [](const std::string &) { return nullptr; };
  Files.List = [this](const std::string &Folder) {
    std::vector<std::string> Names;
    for (const auto &[Name, File] : Current)
      Names.push_back(Name.substr(Folder.size() + 1));
    return Names;
  };
  Files.Read = [this](const std::string &Name) -> std::optional<std::string> {
    auto Found = Current.find(Name);
    if (Found == Current.end())
      return std::nullopt;
    return Found->second->Content;
  };
  Files.Append = [this](const std::string &Name, std::string_view Bytes) {
    std::shared_ptr<file> &File = Current[Name];
    if (!File)
      File = std::make_shared<file>();
    File->Content += Bytes;
    countOperation();
  };
  Files.Truncate = [this](const std::string &Name, std::size_t Size) {
    Current.at(Name)->Content.resize(Size);
    countOperation();
  };
  Files.SyncFile = [this](const std::string &Name) {
    countOperation();
    Current.at(Name)->Durable = Current.at(Name)->Content;
  };
  Files.SyncFolder = [this](const std::string &) {
    countOperation();
    Durable = Current;
  };
  Files.Rename = [this](const std::string &From, const std::string &To) {
    Current[To] = Current.at(From);
    Current.erase(From);
    countOperation();
  };
  Files.Remove = [this](const std::string &Name) {
    if (Current.erase(Name) == 0)
      throw error("file.remove", Name, "no such file");
    countOperation();
  };
  return Files;
}

void fake_disk::losePower() {
  OperationsLeft = -1;
  std::set<std::string> Names;
  for (const folder *Folder : {&Current, &Durable})
    for (const auto &[Name, File] : *Folder)
      Names.insert(Name);
  folder Remaining;
  for (const std::string &Name : Names) {
    const folder &Folder = Random() % 2 == 0 ? Current : Durable;
    if (auto Found = Folder.find(Name); Found != Folder.end())
      Remaining.insert(*Found);
  }
  for (auto &[Name, File] : Remaining) {
    std::string Kept = File->Durable;
    if (File->Content.starts_with(Kept)) {
      std::string Tail = File->Content.substr(Kept.size());
      Tail.resize(Random() % (Tail.size() + 1));
      if (!Tail.empty() && Random() % 2 == 0)
        Tail[Random() % Tail.size()] ^= 0x55;
      Kept += Tail;
    }
    File->Content = File->Durable = Kept;
  }
  Current = Durable = Remaining;
}

} // namespace teasellock
