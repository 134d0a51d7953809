#pragma once

namespace Gateway {
struct GatewaySettings;
}

/// Runs one gateway until it is told to shut down and has completed its shutdown. Returns the exit
/// status of the process: 0 after a shutdown, 1 if the gateway could not start.
int serveGateway(const Gateway::GatewaySettings &settings);
