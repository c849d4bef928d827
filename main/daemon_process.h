#pragma once

#include "main/daemon_settings.h"

#include <memory>

namespace teasellock {

/// One daemon: its loop and the tasks of the roles it was given.
class daemon_process {
public:
  /// Reread gets the settings anew when their file has changed. It may throw
  /// error, which keeps those in force.
  daemon_process(const daemon_settings &Settings,
                 std::function<daemon_settings()> Reread);
  ~daemon_process();

  /// Runs until SIGTERM or SIGINT and the graceful shutdown that follows.
  void run();

private:
  void makeEntry();
  void attachPlatform();
  void watchSettings();
  void reload();
  bool isReady() const;
  void startDraining();
  void drainLines();
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
  std::unique_ptr<caller_server> Callers;
  std::unique_ptr<line_listener> Lines;
  std::unique_ptr<control_service> Control;
  std::unique_ptr<admin_service> Admin;
  std::function<daemon_settings()> Reread;
  bool Draining = false;
  bool HandedOver = false;
  bool CallersGone = false;
  timer_subscription SettingsCheck;
  timer_subscription Restart;
  timer_subscription DrainDeadline;
  timer_subscription DrainCheck;
};

} // namespace teasellock
