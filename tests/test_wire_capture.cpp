// Compares this version with the rows and messages that capture/capture.sh captured from commit 8fb6b9e for the inputs
// in corpus/wire_inputs.json. For these inputs, this version writes the same bytes and reads the same values from them.
// Since the bytes are equal, commit 8fb6b9e reads the same values from this version's bytes as from its own; the
// capture holds these values.
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

// Compares entry by entry, so that a failure names the row or message that differs. The entries are compared as text,
// so that the order of their fields counts.
void
expect_same (json_t *captured, json_t *now)
{
  const char *name;
  json_t *value;
  EXPECT_EQ (json_object_size (captured), json_object_size (now));
  json_object_foreach (captured, name, value) { EXPECT_EQ (dump (json_object_get (now, name)), dump (value)) << name; }
}

TEST_F (WireCapture, WritesTheCapturedBytes)
{
  ASSERT_GT (json_object_size (captured_written), 0u);
  json_t *now = wire_capture::written (inputs);
  expect_same (captured_written, now);
  json_decref (now);
}

TEST_F (WireCapture, ReadsTheCapturedValuesFromTheCapturedBytes)
{
  ASSERT_GT (json_object_size (captured_read), 0u);
  json_t *now = wire_capture::read (inputs, captured_written);
  expect_same (captured_read, now);
  json_decref (now);
}

} // namespace
