#include "processusage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace {

/// Index of the user time among the fields of /proc/PID/stat that follow the program's name, where
/// the state has the index 0 (proc(5)). The system time is the next field.
constexpr int userTimeField = 11;

} // namespace

ProcessUsage usageOf(const std::string &pid)
{
    ProcessUsage usage;
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string text{std::istreambuf_iterator<char>(stat), std::istreambuf_iterator<char>()};
    const std::size_t nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return usage;
    std::istringstream fields(text.substr(nameEnd + 1));
    std::string skipped;
    for (int i = 0; i < userTimeField; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    usage.processor = std::chrono::milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
    std::ifstream status("/proc/" + pid + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0)
            usage.peakKilobytes = std::stol(line.substr(6));
    }
    return usage;
}
