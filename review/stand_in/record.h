/// The record of a run: one line for each event, with the time since the start.
#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using clock_type = std::chrono::steady_clock;

/// Writes record.txt. Shared by all threads of a run.
class run_record {
public:
  explicit run_record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")), Start(clock_type::now()) {}
  ~run_record() {
    if (File)
      std::fclose(File);
  }
  run_record(const run_record &) = delete;
  run_record &operator=(const run_record &) = delete;

  /// Milliseconds since the start of the run.
  double elapsedMs() const {
    return std::chrono::duration<double, std::milli>(clock_type::now() - Start)
        .count();
  }

  void write(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    if (!File)
      return;
    std::fprintf(File, "%10.1f ms  %s\n", elapsedMs(), Text.c_str());
    std::fflush(File);
  }

private:
  std::FILE *File;
  clock_type::time_point Start;
  std::mutex Mutex;
};

} // namespace review
