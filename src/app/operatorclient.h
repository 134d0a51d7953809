#pragma once

#include "base/result.h"
#include "commandline.h"

#include <string>

namespace App {

/// The HTTP answer of a router to an operator.
struct OperatorAnswer
{
    int status = 0;
    std::string body;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

/// Error: no router answers at this address.
struct NoAnswer
{
    std::string address;
};

/// Sends an operator's requests to one router over HTTP. Each call waits for the answer for at most
/// 10 s, and otherwise fails with NoAnswer.
class OperatorClient
{
public:
    /// \a address is "IP:PORT".
    explicit OperatorClient(std::string address);

    Base::Result<OperatorAnswer> targets() const;
    Base::Result<OperatorAnswer> setTarget(const SetTargetCommand &command) const;
    Base::Result<OperatorAnswer> status() const;

private:
    struct Call;
    Base::Result<OperatorAnswer> send(const Call &call) const;

    std::string m_address;
};

} // namespace App
