#include "settings/targetbody.h"

#include "settings/jsonreader.h"

namespace Settings {

namespace {

using Internal::Json;
using Internal::ObjectReader;

/// Lower limit of startWithinMs, in milliseconds.
constexpr std::int64_t minStartWithinMs = 1;
/// Upper limit of startWithinMs: one hour, in milliseconds. A class that may wait longer should not
/// be served over a request that is kept open.
constexpr std::int64_t maxStartWithinMs = 3'600'000;
constexpr char expectedClaim[] = "a number above 0 and at most 1";

void readClaim(ObjectReader &reader, ClassTarget &target)
{
    const Json *member = reader.optional("claim");
    if (!member || member->is_null())
        return;
    if (member->is_number() && member->get<double>() > 0 && member->get<double>() <= 1)
        target.claim = member->get<double>();
    else
        reader.addFault("claim", expectedClaim, Internal::describe(*member));
}

} // namespace

Base::Result<ClassTarget> parseTargetBody(const Base::ClassId &name, std::string_view body)
{
    SettingsFaults faults;
    const std::optional<Json> json = Internal::parseJson(body, faults);
    if (!json)
        return boost::leaf::new_error(faults);
    ClassTarget target;
    target.name = name;
    ObjectReader reader(*json, Json::json_pointer(), faults);
    reader.required("startWithinMs", "a time in milliseconds");
    target.startWithin = Base::Milliseconds(reader.integer(
        "startWithinMs", minStartWithinMs, maxStartWithinMs, target.startWithin.count()));
    readClaim(reader, target);
    reader.finish();
    if (!faults.faults.empty())
        return boost::leaf::new_error(faults);
    return target;
}

} // namespace Settings
