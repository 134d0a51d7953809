#pragma once

#include "daemon/daemonsettings.h"

/// Runs one router until it is told to leave and has finished everything. Returns the
/// process's exit status: 0 after a shutdown, 1 if it could not start.
int serve(const Daemon::DaemonSettings &settings);
