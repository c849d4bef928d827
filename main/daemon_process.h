#pragma once

#include "main/daemon_settings.h"

#include <memory>

namespace teasellock {

/// The daemon: its event loop and the tasks of its configured roles (entry,
/// gateway, control).
class daemon_process {
public:
  /// LoadSettings reads the settings again, to apply changes of their file; it
  /// is empty when no file is used. If it throws error, the current settings
  /// stay in effect.
  daemon_process(const daemon_settings &Settings,
                 std::function<daemon_settings()> LoadSettings);
  ~daemon_process();

  /// Runs until SIGTERM or SIGINT, then shuts down gracefully and returns. A
  /// second signal stops at once.
  void run();

private:
  void createEntryServer();
  void createLimitService();
  limit_hooks limitHooks();
  void configurePlatform();
  void watchSettingsFile();
  void reloadSettings();
  bool isReady() const;
  void startDraining();
  void drainLineProtocol();
  void finishDraining();

  daemon_settings Settings;
  event_loop Loop;
  timer_service Timers;
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;
  member_agent Member;
  std::unique_ptr<gateway_service> Gateway;
  std::unique_ptr<statement_router> Router;
  std::unique_ptr<caller_server> CallerServer;
  std::unique_ptr<limit_service> Limits;
  std::unique_ptr<line_listener> LineListener;
  std::unique_ptr<control_service> Control;
  std::unique_ptr<admin_service> Admin;
  std::function<daemon_settings()> LoadSettings;
  bool IsDraining = false;
  bool AssignmentsReleased = false;
  bool CallersDrained = false;
  timer_subscription SettingsCheckTimer;
  timer_subscription StoreFailureTimer;
  timer_subscription DrainTimeoutTimer;
  timer_subscription DrainCheckTimer;
};

} // namespace teasellock
