// Tests of the helpers that run the real programs on loopback.
#include <gtest/gtest.h>

#include <set>

#include "loopback.hpp"

namespace {

// Guards against two listeners of a test that get the same address: the system may choose the same port again as soon
// as it is released. With so many addresses it does so many times.
TEST (Loopback, NoAddressIsHandedOutTwice)
{
  std::set<std::string> addresses;
  for (int i = 0; i < 2000; i++)
    EXPECT_TRUE (addresses.insert (loopback::free_address ()).second);
}

} // namespace
