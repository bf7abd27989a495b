// The bounded map that evicts its oldest entries.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "core/recent_map.h"
}

namespace {

TEST (RecentMap, KeepsTheFirstValueOfAKeyAndEvictsTheOldestEntries)
{
  FtRecentMap *map = ft_recent_map_new (3);
  guint value = 0;
  for (guint i = 0; i < 4; i++)
    ft_recent_map_add (map, ("key-" + std::to_string (i)).c_str (), i);
  ft_recent_map_add (map, "key-2", 99);
  EXPECT_FALSE (ft_recent_map_find (map, "key-0", &value));
  EXPECT_TRUE (ft_recent_map_find (map, "key-1", nullptr));
  ASSERT_TRUE (ft_recent_map_find (map, "key-2", &value));
  EXPECT_EQ (value, 2u);
  EXPECT_TRUE (ft_recent_map_find (map, "key-3", &value));
  ft_recent_map_free (map);
}

} // namespace
