// Parsing of users' submissions, and the store rows that are written for them.
#include <set>

#include "json_text.hpp"
#include "scheduler_harness.hpp"

extern "C" {
#include "wire/messages.h"
#include "wire/store.h"
}

namespace {

const char *const kSubmission
    = "{\"ref\":\"req-000412\",\"lane\":\"train\",\"crew\":\"vision\",\"shape\":\"array\",\"urgency\":\"high\","
      "\"pieces\":16,\"cores\":8.0,\"cards\":1,\"mem_gb\":64.0,\"bundle\":\"img-07\",\"pull_gb\":6.2,"
      "\"builds\":[\"g8\"],\"yard\":null,\"one_zone\":true,\"apart\":false,\"loaners\":true,\"guess_s\":240.0,"
      "\"bookmark_s\":30.0,\"shelve_s\":4.0,\"due_s\":900.0}";

TEST (Messages, OpenRowOfAJobRoundTrips)
{
  json_t *body = parse_json (kSubmission);
  g_autoptr (FtJobSpec) spec = ft_message_job (body);
  ASSERT_NE (spec, nullptr);
  json_t *row = ft_row_open (spec);
  g_autoptr (FtJobSpec) parsed = ft_row_open_parse ("req-000412", row);
  ASSERT_NE (parsed, nullptr);
  json_t *second_row = ft_row_open (parsed);
  EXPECT_TRUE (json_equal (row, second_row));
  EXPECT_EQ (parsed->tasks, 16u);
  EXPECT_STREQ (parsed->types[0], "g8");
  json_decref (body);
  json_decref (row);
  json_decref (second_row);
}

TEST (Messages, SubmissionWithAMissingOrInvalidFieldIsRefused)
{
  json_t *body = parse_json (kSubmission);
  const std::set<std::string> optional = { "builds", "yard", "due_s" };
  const char *name;
  json_t *value;
  json_t *copy = json_copy (body);
  json_object_foreach (copy, name, value)
  {
    json_t *without = json_deep_copy (body);
    json_object_del (without, name);
    FtJobSpec *spec = ft_message_job (without);
    EXPECT_EQ (spec != nullptr, optional.count (name) > 0) << name;
    ft_job_spec_free (spec);
    json_object_set_new (without, name, json_object ());
    EXPECT_EQ (ft_message_job (without), nullptr) << name;
    json_decref (without);
  }
  for (const char *ref : { "job-1", "req-", "req-a/b", "req-\"", "" }) {
    json_object_set_new (copy, "ref", json_string (ref));
    EXPECT_EQ (ft_message_job (copy), nullptr) << ref;
  }
  json_decref (copy);
  json_decref (body);
}

} // namespace
