#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

namespace Base {

/// Result of a function that can fail, such as a static factory function. Errors are typed objects
/// that are passed to boost::leaf::new_error(), not plain strings.
template <typename T>
using Result = boost::leaf::result<T>;

} // namespace Base
