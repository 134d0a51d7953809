#pragma once

namespace Gateway {
struct GatewaySettings;
}

/// Runs one gateway until it is told to leave and has finished everything. Returns the process's
/// exit status: 0 after a shutdown, 1 if it could not start.
int serveGateway(const Gateway::GatewaySettings &settings);
