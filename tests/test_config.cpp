// Tests of reading the settings file and of the errors that are reported for it.
#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

extern "C" {
#include "config.h"
}

namespace {

// The text of a valid settings file, with one unknown field, "extra".
std::string
settings ()
{
  return R"({"member":"hearth-0","area":"z","front":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081","extra":1,
    "others":[{"member":"hearth-1","area":"y","peer_addr":"10.0.0.2:8081"}],
    "services":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
    "settings":{"size":3,"zones":["z"],"teams":[{"name":"t","cpus":1.0,"cpus_max":2.0,"gpus":0.0,"gpus_max":0.0}],
    "objectives":[],"workers":{"report_s":3.0,"lease_s":34.0,"cancel_s":54.0},
    "state":{"rps":150.0,"write_rps":60.0,"value_kb":8.0,"txn_ops":16},"cloud":{"rps":3.0,"list_lag_s":12.0},
    "resources":{"cpu_share":0.16,"ram_mb":200.0,"fd_limit":4000},"skew_ms":25.0}})";
}

TEST (Settings, ValidSettingsAreReadAndUnknownFieldsAreIgnored)
{
  std::string text = settings ();
  g_autoptr (GError) error = nullptr;
  g_autoptr (FtConfig) config = ft_config_parse (text.c_str (), text.size (), &error);
  ASSERT_NE (config, nullptr) << error->message;
  EXPECT_EQ (config->core.n_teams, 1u);
  EXPECT_EQ (config->core.txn_ops, 16u);
  EXPECT_EQ (config->core.value_kb, 8.0);
}

TEST (Settings, ErrorNamesTheInvalidField)
{
  const std::vector<std::array<std::string, 3> > cases = {
    { "\"member\":\"hearth-0\"", "\"member\":7", "member" },
    { "10.0.0.1:8080", "10.0.0.1", "front" },
    { "10.2.0.2:8443", "cloud.example:8443", "services.cloud" },
    { "\"lease_s\":34.0", "\"lease_s\":-1", "settings.workers.lease_s" },
    { "\"cpus_max\":2.0", "\"cpus_max\":\"2\"", "settings.teams[0].cpus_max" },
    { "\"txn_ops\":16", "\"txn_ops\":16,\"next\":{\"txn_ops\":2}", "settings.state.next.txn_ops" },
    { "\"txn_ops\":16", "\"txn_ops\":16,\"next\":{\"value_kb\":\"2\"}", "settings.state.next.value_kb" },
    { "\"txn_ops\":16", "\"txn_ops\":16,\"next\":[]", "settings.state.next" },
    { "\"txn_ops\":16", "\"txn_ops\":2", "settings.state.txn_ops" },
  };
  for (const auto &[from, to, field] : cases) {
    std::string text = settings ();
    text.replace (text.find (from), from.size (), to);
    g_autoptr (GError) error = nullptr;
    EXPECT_EQ (ft_config_parse (text.c_str (), text.size (), &error), nullptr);
    ASSERT_NE (error, nullptr);
    EXPECT_NE (std::string (error->message).find (field), std::string::npos) << error->message;
  }
}

} // namespace
