// Rows and messages of commit 8fb6b9e, captured by capture/capture.sh for the inputs of
// corpus/wire_inputs.json: this version writes the same bytes, and reads the same from them.
// As the bytes are the same, that version reads of this one's what it read of its own, which
// is what the capture holds.
#include <gtest/gtest.h>

#include "capture/wire_capture.hpp"

namespace {

class WireCapture : public testing::Test {
protected:
  json_t *inputs = json_load_file (FT_CORPUS "/wire_inputs.json", 0, nullptr);
  json_t *captured = json_load_file (FT_CORPUS "/wire_8fb6b9e.json", 0, nullptr);
  json_t *captured_written = json_object_get (captured, "written");
  json_t *captured_read = json_object_get (captured, "read");
  ~WireCapture () override
  {
    json_decref (inputs);
    json_decref (captured);
  }
};

std::string
dump (const json_t *value)
{
  char *text = value != nullptr ? json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT) : nullptr;
  std::string all = text != nullptr ? text : "missing";
  free (text);
  return all;
}

// Entry by entry, so that a difference names its message; texts keep the order of fields.
void
expect_same (json_t *captured, json_t *now)
{
  const char *name;
  json_t *value;
  EXPECT_EQ (json_object_size (captured), json_object_size (now));
  json_object_foreach (captured, name, value) { EXPECT_EQ (dump (json_object_get (now, name)), dump (value)) << name; }
}

TEST_F (WireCapture, WritesTheBytesThatTheBaseWrote)
{
  ASSERT_GT (json_object_size (captured_written), 0u);
  json_t *now = wire_capture::written (inputs);
  expect_same (captured_written, now);
  json_decref (now);
}

TEST_F (WireCapture, ReadsWhatTheBaseReadOfTheBytesItWrote)
{
  ASSERT_GT (json_object_size (captured_read), 0u);
  json_t *now = wire_capture::read (inputs, captured_written);
  expect_same (captured_read, now);
  json_decref (now);
}

} // namespace
