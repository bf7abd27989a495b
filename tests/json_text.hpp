// JSON values written as text in tests.
#pragma once
#include <jansson.h>

inline json_t *
parse_json (const char *text)
{
  return json_loads (text, JSON_DECODE_ANY, nullptr);
}
