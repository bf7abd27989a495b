// Sound submissions, in whatever spelling they come: unknown fields, any order of fields, other encodings of the same
// values. Each is accepted, and the same job in another spelling is the same job.
#include "cbor_spelling.hpp"
#include "loopback.hpp"
#include "loopback/raw_http.hpp"
#include "loopback/three_controllers.hpp"

extern "C" {
#include "wire/cbor.h"
#include "wire/job_rows.h"
#include "wire/messages.h"
}

using namespace loopback;

namespace {

// The stored row of the submission; NULL if it is refused. The caller owns it.
json_t *
row_of (const std::string &encoded)
{
  json_auto_t *body = ft_cbor_decode ((const guint8 *) encoded.data (), encoded.size ());
  g_autoptr (FtJobSpec) spec = ft_message_job (body);
  return spec != nullptr ? ft_row_open (spec) : nullptr;
}

std::vector<std::string>
field_names (const json_t *map)
{
  std::vector<std::string> names;
  const char *name;
  json_t *item;
  json_object_foreach ((json_t *) map, name, item) names.emplace_back (name);
  return names;
}

TEST (SubmissionSpelling, EachSpellingIsTheSameJob)
{
  json_auto_t *body = job_after ("req-1", { "req-2", "req-3" }, 12);
  json_auto_t *expected = row_of (spell (body, {}));
  ASSERT_NE (expected, nullptr);
  for (const CborSpelling &spelling : sound_spellings ()) {
    json_auto_t *row = row_of (spell (body, spelling));
    EXPECT_TRUE (json_equal (row, expected)) << spelling.name;
  }
}

// Each field comes first and last once, behind each other one; all orders of twenty fields are too many.
TEST (SubmissionSpelling, FieldsMayComeInAnyOrder)
{
  json_auto_t *body = job ("req-1", 12);
  json_auto_t *expected = row_of (spell (body, {}));
  std::vector<std::string> names = field_names (body);
  for (size_t turn = 0; turn < 2 * names.size (); turn++) {
    CborSpelling spelling;
    spelling.order = names;
    if (turn >= names.size ())
      std::reverse (spelling.order.begin (), spelling.order.end ());
    std::rotate (spelling.order.begin (), spelling.order.begin () + (long) (turn % names.size ()),
                 spelling.order.end ());
    json_auto_t *row = row_of (spell (body, spelling));
    EXPECT_TRUE (json_equal (row, expected)) << "first " << spelling.order.front ();
  }
}

// Guards against a number that is rounded: a count has to be whole.
TEST (SubmissionSpelling, CountsThatAreNotWholeAreRefused)
{
  json_auto_t *body = job ("req-1", 12);
  for (double tasks : { 1.5, -1.0, 0.0, 1e300 }) {
    json_object_set_new (body, "pieces", json_real (tasks));
    EXPECT_EQ (row_of (spell (body, {})), nullptr) << tasks;
  }
}

class SubmissionSpellings : public ThreeControllers {
protected:
  // Posts the encoded submission and returns its status and body.
  RawAnswer
  post (size_t i, const std::string &encoded)
  {
    RawAnswer answer;
    in_thread ([&] { answer = RawConnection (front (i)).exchange (post_message (front (i), "/work", encoded)); });
    return answer;
  }
};

// Each spelling is accepted by one controller, and is the same job for another one, whose submission is plain.
TEST_F (SubmissionSpellings, EachIsAcceptedOnceByTheRealProgram)
{
  constexpr int kTasks = 2;
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  ASSERT_TRUE (wait_for ([&] { return submit (0, job ("req-1", 1))->status < 300; }));
  ASSERT_TRUE (reaches (0, "req-1", "done"));
  guint started = machine.starts;
  size_t number = 0;
  std::vector<CborSpelling> spellings = sound_spellings ();
  for (const CborSpelling &spelling : spellings) {
    std::string ref = "req-5" + std::to_string (number);
    json_auto_t *body = job (ref.c_str (), kTasks);
    EXPECT_EQ (post (number % 3, spell (body, spelling)).status, 201u) << spelling.name;
    RawAnswer repeated = post ((number + 1) % 3, spell (body, {}));
    EXPECT_EQ (repeated.status, 200u) << spelling.name;
    EXPECT_NE (repeated.body.find ("standing"), std::string::npos) << spelling.name;
    number++;
  }
  for (size_t i = 0; i < number; i++)
    EXPECT_TRUE (reaches (i % 3, "req-5" + std::to_string (i), "done")) << spellings[i].name;
  EXPECT_EQ (machine.starts - started, kTasks * number) << "a task was started twice or not at all";
}

// What differs in meaning under a known id is answered with the state of the job that was accepted: "When an accepted
// job is submitted again, the answer is 200 with its current state."
TEST_F (SubmissionSpellings, AnotherJobUnderAKnownIdIsAnsweredWithTheAcceptedOne)
{
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  ASSERT_TRUE (wait_for ([&] { return submit (0, job ("req-3", 2))->status < 300; }));
  ASSERT_TRUE (reaches (0, "req-3", "running"));
  for (size_t i = 0; i < kControllers; i++) {
    EXPECT_EQ (submit (i, job ("req-3", 5, "red", 1))->status, 200u);
    auto running = [&] { return submit (i, job ("req-3", 5, "red", 1))->text ("standing") == "running"; };
    EXPECT_TRUE (wait_for (running)) << "controller " << i;
  }
  EXPECT_EQ (machine.starts, 2u);
  EXPECT_EQ (cancel (1, "req-3"), "withdrawn");
}

} // namespace
