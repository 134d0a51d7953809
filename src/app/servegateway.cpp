#include "servegateway.h"

#include "gateway/gateway.h"
#include "platform/directoryhandler.h"
#include "platform/headernames.h"
#include "platform/storecodec.h"

#include <csignal>
#include <cstdio>

int serveGateway(const Gateway::GatewaySettings &settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    const Platform::StoreCodec store;
    const Gateway::DeploymentAdapter adapter{Platform::headerNames(), store,
                                             Platform::directoryHandler};
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<int> {
            BOOST_LEAF_AUTO(gateway, Gateway::Gateway::create(settings, adapter));
            gateway->run();
            return 0;
        },
        [](const Gateway::CannotListen &it) {
            std::fprintf(stderr, "lagoonmast: cannot listen at %s\n", it.address.c_str());
            return 1;
        },
        [] {
            std::fputs("lagoonmast: cannot start\n", stderr);
            return 1;
        });
}
