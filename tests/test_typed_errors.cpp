// Errors in the settings file and in rows: their domains, codes and messages.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "config.h"
#include "wire/fields.h"
#include "wire/job_rows.h"
}

namespace {

// Returns the settings of the corpus with one field of the map at `path` set to a JSON value, or removed if `value` is
// null.
std::string
settings_with (std::initializer_list<const char *> path, const char *field, const char *value)
{
  json_t *root = json_load_file (FT_CORPUS "/settings.json", 0, nullptr);
  json_t *map = root;
  for (const char *name : path)
    map = json_object_get (map, name);
  if (value != nullptr)
    json_object_set_new (map, field, json_loads (value, JSON_DECODE_ANY, nullptr));
  else
    json_object_del (map, field);
  char *text = json_dumps (root, 0);
  std::string all = text;
  free (text);
  json_decref (root);
  return all;
}

void
expect_error (const std::string &settings, FtConfigError code, const char *message)
{
  g_autoptr (GError) error = nullptr;
  EXPECT_EQ (ft_config_parse (settings.c_str (), settings.size (), &error), nullptr) << message;
  ASSERT_NE (error, nullptr) << message;
  EXPECT_TRUE (g_error_matches (error, FT_CONFIG_ERROR, (int) code)) << error->code << " " << message;
  EXPECT_STREQ (error->message, message);
}

TEST (TypedErrors, SettingsErrorNamesTheFieldAndHasTheCodeOfTheFault)
{
  expect_error (settings_with ({}, "member", nullptr), FT_CONFIG_ERROR_MISSING_FIELD,
                "settings: member: a text is needed");
  expect_error (settings_with ({}, "member", "3"), FT_CONFIG_ERROR_WRONG_TYPE, "settings: member: a text is needed");
  expect_error (settings_with ({}, "member", "\"\""), FT_CONFIG_ERROR_OUT_OF_RANGE,
                "settings: member: a text is needed");
  expect_error (settings_with ({}, "front", "\"10.0.0.1\""), FT_CONFIG_ERROR_OUT_OF_RANGE,
                "settings: front: an address with a port is needed, like 10.0.0.1:8080");
  expect_error (settings_with ({}, "front", "\"host:80\""), FT_CONFIG_ERROR_OUT_OF_RANGE,
                "settings: front: the host must be an IP number");
  expect_error (settings_with ({}, "others", "{}"), FT_CONFIG_ERROR_WRONG_TYPE, "settings: others: a list is needed");
  expect_error (settings_with ({ "settings" }, "cloud", nullptr), FT_CONFIG_ERROR_MISSING_FIELD,
                "settings: settings.cloud: a map is needed");
  expect_error (settings_with ({ "settings", "cloud" }, "rps", "0"), FT_CONFIG_ERROR_OUT_OF_RANGE,
                "settings: settings.cloud.rps: a number is needed, and not below its least value");
  expect_error (settings_with ({ "settings", "cloud" }, "rps", "\"3\""), FT_CONFIG_ERROR_WRONG_TYPE,
                "settings: settings.cloud.rps: a number is needed, and not below its least value");
  expect_error (settings_with ({ "settings" }, "size", "0"), FT_CONFIG_ERROR_OUT_OF_RANGE,
                "settings: settings.size: a whole number is needed, and not below its least value");
  expect_error (settings_with ({ "settings" }, "size", "2.5"), FT_CONFIG_ERROR_WRONG_TYPE,
                "settings: settings.size: a whole number is needed, and not below its least value");
}

// The test checks only the beginning of the message, since the JSON library supplies the rest.
TEST (TypedErrors, ErrorOfSettingsThatAreNotJsonNamesTheLine)
{
  g_autoptr (GError) error = nullptr;
  EXPECT_EQ (ft_config_parse ("{\n!", 3, &error), nullptr);
  EXPECT_TRUE (g_error_matches (error, FT_CONFIG_ERROR, FT_CONFIG_ERROR_NOT_JSON));
  EXPECT_TRUE (g_str_has_prefix (error->message, "settings: not JSON: line 2: ")) << error->message;
}

TEST (TypedErrors, MissingSettingsFileIsUnreadable)
{
  g_autoptr (GError) error = nullptr;
  EXPECT_EQ (ft_config_load (FT_CORPUS "/no-such-file", &error), nullptr);
  EXPECT_TRUE (g_error_matches (error, FT_CONFIG_ERROR, FT_CONFIG_ERROR_UNREADABLE));
  EXPECT_NE (strstr (error->message, "no-such-file"), nullptr) << error->message;
}

class RowErrors : public testing::Test {
protected:
  json_t *rows = json_load_file (FT_CORPUS "/production_rows.json", 0, nullptr);
  json_t *row = json_object_get (rows, "o/req-3");
  ~RowErrors () override { json_decref (rows); }
  void
  expect (FtWireError code, const char *message)
  {
    g_autoptr (GError) error = nullptr;
    EXPECT_EQ (ft_row_open_parse_full ("req-3", row, &error), nullptr) << message;
    ASSERT_NE (error, nullptr) << message;
    EXPECT_TRUE (g_error_matches (error, FT_WIRE_ERROR, (int) code)) << error->code << " " << message;
    EXPECT_STREQ (error->message, message);
  }
};

TEST_F (RowErrors, ErrorNamesTheRequiredFieldThatIsMissingOrInvalid)
{
  g_autoptr (FtJobSpec) whole = ft_row_open_parse_full ("req-3", row, nullptr);
  ASSERT_NE (whole, nullptr);
  for (const char *name :
       { "class", "team", "image", "priority", "tasks", "submitted_ms", "cpus", "gpus", "memory_gb", "image_gb",
         "estimate_s", "checkpoint_s", "save_s", "deadline_s", "one_zone", "spread", "spot" }) {
    json_t *value = json_incref (json_object_get (row, name));
    ASSERT_NE (value, nullptr) << name;
    json_object_del (row, name);
    expect (FT_WIRE_ERROR_MISSING_FIELD, (std::string ("field ") + name + " is missing").c_str ());
    json_object_set_new (row, name, json_array ());
    expect (FT_WIRE_ERROR_INVALID_FIELD, (std::string ("field ") + name + " is invalid").c_str ());
    json_object_set_new (row, name, value);
  }
}

TEST_F (RowErrors, ErrorNamesTheOptionalFieldThatIsInvalid)
{
  for (const char *name : { "kind", "types", "zone", "sent", "awaits" }) {
    json_t *value = json_deep_copy (json_object_get (row, name));
    json_object_del (row, name);
    g_autoptr (FtJobSpec) without = ft_row_open_parse_full ("req-3", row, nullptr);
    EXPECT_NE (without, nullptr) << name;
    json_object_set_new (row, name, json_real (-1));
    expect (FT_WIRE_ERROR_INVALID_FIELD, (std::string ("field ") + name + " is invalid").c_str ());
    json_object_del (row, name);
    if (value != nullptr)
      json_object_set_new (row, name, value);
  }
}

} // namespace
