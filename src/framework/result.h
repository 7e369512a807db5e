// The value that a function returns, or the error because of which there is
// none.

#pragma once

#include <boost/system/result.hpp>

#include <system_error>

namespace kumquat {

template<typename T>
using Result = boost::system::result<T, std::error_code>;

} // namespace kumquat
