// Rows and messages of older versions, among them those that the version in production writes.
#include <fstream>
#include <sstream>

#include "scheduler_harness.hpp"

extern "C" {
#include "wire/peer_heartbeat.h"
#include "wire/store.h"
}

namespace {

json_t *
parse (const char *text)
{
  return json_loads (text, JSON_DECODE_ANY, nullptr);
}

TEST (Records, RowsOfOlderVersionsAreRead)
{
  // Before there were kinds of jobs, and lease times in renewals.
  json_t *open = parse ("{\"class\":\"c\",\"team\":\"red\",\"priority\":1,\"tasks\":3,\"cpus\":4.0,\"gpus\":0.0,"
                        "\"memory_gb\":1.0,\"image\":\"i\",\"image_gb\":1.0,\"types\":null,\"zone\":null,"
                        "\"one_zone\":false,\"spread\":false,\"spot\":true,\"estimate_s\":1.0,\"checkpoint_s\":0.0,"
                        "\"save_s\":0.0,\"deadline_s\":9.0,\"submitted_ms\":5}");
  g_autoptr (FtJobSpec) old_job = ft_row_open_parse ("req-1", open);
  ASSERT_NE (old_job, nullptr);
  EXPECT_EQ (old_job->kind, FT_KIND_ARRAY);
  json_decref (open);
  json_t *list = parse ("{\"pairs\":[{\"key\":\"l/fence\",\"data\":{\"token\":3,\"holder\":\"a\",\"incarnation\":1},"
                        "\"stamp\":4},{\"key\":\"l/renewal\",\"data\":{\"token\":3,\"released\":false},\"stamp\":5}],"
                        "\"more\":false}");
  gboolean more;
  g_autoptr (GArray) rows = ft_store_rows (list, &more);
  FtLeaseRows seen{};
  EXPECT_TRUE (ft_row_lease_parse (rows, &seen));
  EXPECT_EQ (seen.token, 3u);
  EXPECT_EQ (seen.lease_us, 0);
  ft_lease_rows_clear (&seen);
  json_decref (list);
}

// Captured from a running controller of the version that deploy/service.toml names: a job that
// runs, one partly done, one that waits for its dispatch watermark to be written, one cancelled, two machines,
// settings.
class ProductionRows : public testing::Test {
protected:
  json_t *all = json_load_file (FT_CORPUS "/production_rows.json", 0, nullptr);
  ~ProductionRows () override { json_decref (all); }
  json_t *
  row (const char *key)
  {
    return json_object_get (all, key);
  }
};

TEST_F (ProductionRows, JobsWatermarksDoneSetsAndMachinesAreLoaded)
{
  SchedulerHarness harness;
  guint machines = 0;
  // In the order in which a leader reads them.
  for (const char *key : { "o/req-3", "o/req-5", "o/req-6", "o/req-7", "o/req-8", "o/req-8/w", "d/req-5/0", "m/1-0" }) {
    json_t *value = row (key);
    ASSERT_NE (value, nullptr) << key;
    FtRow row = { key, value, 7 };
    gboolean cancelled;
    guint chunk;
    g_autofree char *ref = nullptr, *open = ft_key_open_ref (key, &cancelled);
    if (open != nullptr && !cancelled)
      ft_scheduler_load_job (harness.scheduler, ft_row_open_parse (open, value), ft_row_open_state_revision (&row),
                             100 * kS, 0);
    else if (open != nullptr)
      ft_scheduler_job_cancelled (harness.scheduler, open, 0, 100 * kS);
    else if (ft_key_chunk_parse (key, &ref, &chunk))
      ft_scheduler_load_done (harness.scheduler, ref, chunk, ft_row_chunk_bits (value));
    else if (g_str_has_prefix (key, "m/"))
      machines += ft_row_machine_parse (harness.scheduler, &row);
  }
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  EXPECT_EQ (machines, 1u);
  ASSERT_NE (harness.job ("req-5"), nullptr);
  EXPECT_EQ (ft_job_finished_tasks (harness.job ("req-5")), 2u) << "its done-set";
  EXPECT_EQ (harness.job ("req-3")->state, FT_JOB_OPEN);
  EXPECT_EQ (harness.job ("req-3")->counts[FT_TASK_UNKNOWN], 2u)
      << "below the dispatch watermark, and so perhaps running";
  EXPECT_EQ (harness.job ("req-8")->state, FT_JOB_CANCELLING);
  EXPECT_NE (harness.machine ("n-000001"), nullptr);
  EXPECT_NE (harness.machine ("n-000002"), nullptr);
}

TEST_F (ProductionRows, StatesAndTheLeaseAreRead)
{
  FtJobRow state;
  ASSERT_TRUE (ft_row_job_parse (row ("j/req-3"), &state));
  EXPECT_TRUE (state.open && !state.has_dependencies);
  ASSERT_TRUE (ft_row_job_parse (row ("j/req-8"), &state));
  EXPECT_TRUE (!state.open && state.end == FT_JOB_END_CANCELLED && state.ended_wall_ms == 0);
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FtRow));
  for (const char *key : { "l/fence", "l/renewal" }) {
    FtRow lease = { key, row (key), 4 };
    g_array_append_val (rows, lease);
  }
  FtLeaseRows seen{};
  ASSERT_TRUE (ft_row_lease_parse (rows, &seen));
  EXPECT_STREQ (seen.holder, "hearth-0");
  EXPECT_EQ (seen.lease_us, 9 * kS);
  ft_lease_rows_clear (&seen);
  FtTuning tuning;
  ft_row_settings_parse (row ("s/settings"), &tuning);
  EXPECT_EQ (tuning.sample_size, 9);
}

// The sender of a heartbeat without the field is of a version that would start a job before its dependencies.
TEST (Records, AHeartbeatOfAnOlderVersionIsDistinguishedFromANewOne)
{
  json_t *old_body = parse ("{\"member\":\"hearth-1\",\"served_ms_ago\":5,\"token\":3,\"jobs\":{\"req-1\":[1,2]}}");
  g_autoptr (FtPeerHeartbeat) old_beat = ft_peer_heartbeat_parse (old_body);
  ASSERT_NE (old_beat, nullptr);
  EXPECT_FALSE (old_beat->supports_dependencies);
  json_decref (old_body);
  g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_new ("hearth-1");
  heartbeat->supports_dependencies = TRUE;
  json_t *body = ft_peer_heartbeat_body (heartbeat);
  g_autoptr (FtPeerHeartbeat) back = ft_peer_heartbeat_parse (body);
  ASSERT_NE (back, nullptr);
  EXPECT_TRUE (back->supports_dependencies);
  json_object_set_new (body, "knows_needs", json_integer (1));
  EXPECT_EQ (ft_peer_heartbeat_parse (body), nullptr);
  json_decref (body);
}

} // namespace
