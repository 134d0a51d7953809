#pragma once

#include "daemon/daemonsettings.h"

/// Runs one router until it receives SIGTERM or SIGINT and has completed its shutdown. Returns the
/// exit status of the process: 0 after a shutdown, 1 if the router could not start.
int serve(const Daemon::DaemonSettings &settings);
