// Tests of the stored rows and the messages of jobs with DAG dependencies.
#include "scheduler_harness.hpp"

extern "C" {
#include "wire/messages.h"
#include "wire/store.h"
}

namespace {

// The open row of a job is its row in the index of open jobs.
TEST (DependencyRecords, OpenRowKeepsTheDependenciesAndUsesFewBytesForEach)
{
  g_autoptr (FtJobSpec) job = new_dependent_spec ("req-1", { "req-000398", "req-000405" });
  json_t *row = ft_row_open (job);
  g_autoptr (FtJobSpec) back = ft_row_open_parse ("req-1", row);
  ASSERT_NE (back, nullptr);
  EXPECT_TRUE (g_strv_equal ((const char *const *) back->dependencies, (const char *const *) job->dependencies));
  json_object_set_new (row, "awaits", json_string ("no/ref"));
  EXPECT_EQ (ft_row_open_parse ("req-1", row), nullptr)
      << "a row with an invalid dependency must be refused, since its job could start too early";
  json_decref (row);
  std::vector<std::string> names;
  std::vector<const char *> many;
  for (int i = 0; i < 150; i++)
    names.push_back ("req-" + std::to_string (100000 + i));
  for (const std::string &name : names)
    many.push_back (name.c_str ());
  g_autoptr (FtJobSpec) wide = new_dependent_spec ("req-1", many);
  EXPECT_LE (ft_row_open_size (wide), 2048u);
}

TEST (DependencyRecords, JobRowStoresTheEndOfTheJobAndWhetherItHasDependencies)
{
  g_autoptr (FtJobSpec) job = new_dependent_spec ("req-1", { "req-2" }, 3);
  FtJobRow state;
  json_t *open = ft_row_job_open (job), *done = ft_row_job_ended (FT_JOB_END_DONE, 3, 77);
  ASSERT_TRUE (ft_row_job_parse (open, &state));
  EXPECT_TRUE (state.open && state.has_dependencies && state.tasks == 3);
  ASSERT_TRUE (ft_row_job_parse (done, &state));
  EXPECT_TRUE (!state.open && state.end == FT_JOB_END_DONE && state.ended_wall_ms == 77);
  json_object_set_new (done, "state", json_string ("gone"));
  EXPECT_FALSE (ft_row_job_parse (done, &state));
  json_decref (open);
  json_decref (done);
}

TEST (DependencyRecords, EveryEntryOfADependencyListIsValidated)
{
  auto job = [] (const char *dependencies) {
    std::string text = R"({"ref":"req-1","lane":"c","crew":"red","shape":"array","urgency":"high","pieces":1,"cores":1.0,
      "cards":0.0,"mem_gb":1.0,"bundle":"i","pull_gb":1.0,"one_zone":false,"apart":false,"loaners":true,"guess_s":1.0,
      "bookmark_s":0.0,"shelve_s":0.0,"awaits":)" + std::string (dependencies)
                       + "}";
    json_t *body = json_loads (text.c_str (), 0, nullptr);
    FtJobSpec *spec = ft_message_job (body);
    json_decref (body);
    return spec;
  };
  for (const char *bad : { "7", "\"req-2\"", "{}", "[7]", "[\"job-2\"]", "[\"req-2/1\"]", "[\"req-1\"]", "[null]",
                           "[\"req-2\",\"\"]", "[\"req-a b\"]" }) {
    g_autoptr (FtJobSpec) none = job (bad);
    EXPECT_EQ (none, nullptr) << bad;
  }
  for (const char *nothing : { "null", "[]" }) {
    g_autoptr (FtJobSpec) spec = job (nothing);
    ASSERT_NE (spec, nullptr) << nothing;
    EXPECT_EQ (spec->dependencies, nullptr);
  }
  g_autoptr (FtJobSpec) twice = job ("[\"req-2\",\"req-3\",\"req-2\"]");
  ASSERT_NE (twice, nullptr);
  EXPECT_EQ (g_strv_length (twice->dependencies), 2u);
}

} // namespace
