#include "modules/consensus/file_system.h"

#include "core/error.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr mode_t FileMode = 0600;

[[noreturn]] void fail(const std::string &Step, const std::string &File) {
  throw error(Step, File, std::strerror(errno));
}

/// Owns an open file descriptor.
class descriptor {
public:
  descriptor(const std::string &Step, const std::string &File, int Flags)
      : Number(::open(File.c_str(), Flags | O_CLOEXEC, FileMode)) {
    if (Number < 0)
      fail(Step, File);
  }
  ~descriptor() { ::close(Number); }
  descriptor(const descriptor &) = delete;
  descriptor &operator=(const descriptor &) = delete;

  int number() const { return Number; }

private:
  int Number;
};

std::vector<std::string> listFolder(const std::string &Folder) {
  std::vector<std::string> Names;
  std::error_code Problem;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder, Problem))
    Names.push_back(Entry.path().filename().string());
  if (Problem)
    throw error("file.list", Folder, Problem.message());
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::optional<std::string> readFile(const std::string &File) {
  if (::access(File.c_str(), F_OK) != 0 && errno == ENOENT)
    return std::nullopt;
  descriptor Input("file.read", File, O_RDONLY);
  std::string Content;
  char Buffer[1 << 16];
  while (ssize_t Count = ::read(Input.number(), Buffer, sizeof(Buffer))) {
    if (Count < 0)
      fail("file.read", File);
    Content.append(Buffer, static_cast<std::size_t>(Count));
  }
  return Content;
}

void appendToFile(const std::string &File, std::string_view Bytes) {
  descriptor Output("file.append", File, O_WRONLY | O_APPEND | O_CREAT);
  while (!Bytes.empty()) {
    ssize_t Count = ::write(Output.number(), Bytes.data(), Bytes.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      fail("file.append", File);
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
}

void truncateFile(const std::string &File, std::size_t Size) {
  if (::truncate(File.c_str(), static_cast<off_t>(Size)) != 0)
    fail("file.truncate", File);
}

void syncFile(const std::string &File) {
  descriptor Target("file.sync", File, O_RDWR);
  if (::fsync(Target.number()) != 0)
    fail("file.sync", File);
}

void syncFolder(const std::string &Folder) {
  descriptor Target("file.sync", Folder, O_RDONLY | O_DIRECTORY);
  if (::fsync(Target.number()) != 0)
    fail("file.sync", Folder);
}

void makeFolder(const std::string &Folder) {
  std::error_code Problem;
  std::filesystem::create_directories(Folder, Problem);
  if (Problem)
    throw error("file.make_folder", Folder, Problem.message());
}

void renameFile(const std::string &From, const std::string &To) {
  if (::rename(From.c_str(), To.c_str()) != 0)
    fail("file.rename", From);
}

void removeFile(const std::string &File) {
  if (::unlink(File.c_str()) != 0)
    fail("file.remove", File);
}

std::shared_ptr<void> lockFile(const std::string &File) {
  auto Lock = std::make_shared<descriptor>("file.lock", File, O_RDWR | O_CREAT);
  if (::flock(Lock->number(), LOCK_EX | LOCK_NB) != 0)
    throw error("file.lock", File, "another process uses this data folder");
  return Lock;
}

} // namespace

file_system posixFileSystem() {
  file_system Files;
  Files.MakeFolder = makeFolder;
  Files.List = listFolder;
  Files.Read = readFile;
  Files.Append = appendToFile;
  Files.Truncate = truncateFile;
  Files.SyncFile = syncFile;
  Files.SyncFolder = syncFolder;
  Files.Rename = renameFile;
  Files.Remove = removeFile;
  Files.Lock = lockFile;
  return Files;
}

} // namespace teasellock
