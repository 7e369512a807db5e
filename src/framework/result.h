// A value or the error that stands in its place.

#pragma once

#include <boost/system/result.hpp>

#include <system_error>

namespace kumquat {

template<typename T>
using Result = boost::system::result<T, std::error_code>;

} // namespace kumquat
