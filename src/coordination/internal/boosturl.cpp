// Boost.URL is built with the library: its compiled form is not needed.

#include <boost/url/src.hpp>
