// Parsing of JSON that tests write as text.
#pragma once
#include <jansson.h>

// Parses a JSON value of any type; the caller owns it. NULL if the text is not valid.
inline json_t *
parse_json (const char *text)
{
  return json_loads (text, JSON_DECODE_ANY, nullptr);
}
