#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

namespace Base {

/// What every static factory function returns. Errors are typed objects, loaded with
/// boost::leaf::new_error; no failure is a bare string.
template <typename T>
using Result = boost::leaf::result<T>;

} // namespace Base
