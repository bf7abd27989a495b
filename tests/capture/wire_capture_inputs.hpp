// Access to the inputs of wire_capture.hpp, and the form in which the capture stores messages.
#pragma once
#include <functional>
#include <string>

#ifdef WIRE_NAMES
#include WIRE_NAMES
#else
#define HEARTBEAT_INCARNATION incarnation
extern "C" {
#include "wire/cbor.h"
#include "wire/cloud.h"
#include "wire/messages.h"
#include "wire/peer_heartbeat.h"
#include "wire/store.h"
}
#endif

namespace wire_capture {

// Wall time for rows that contain one, in milliseconds.
constexpr gint64 kWallMs = 1796206117529;
// A row's revision, above 2^53 so that a conversion to a double would change it.
constexpr guint64 kRevision = 4611686018427387907;

// Receives an input's name, "LIST/INDEX", and the input.
using Visit = std::function<void (const std::string &, json_t *)>;

// Visits each input of the list with that name.
inline void
each (const json_t *inputs, const char *name, const Visit &visit)
{
  json_t *list = json_object_get (inputs, name);
  for (size_t i = 0; i < json_array_size (list); i++)
    visit (std::string (name) + "/" + std::to_string (i), json_array_get (list, i));
}

inline gint64
number (const json_t *map, const char *name)
{
  return json_integer_value (json_object_get (map, name));
}

inline const char *
text (const json_t *map, const char *name)
{
  return json_string_value (json_object_get (map, name));
}

inline std::string
hex_of (GBytes *bytes)
{
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
  std::string hex;
  for (gsize i = 0; i < size; i++) {
    g_autofree char *pair = g_strdup_printf ("%02x", data[i]);
    hex += pair;
  }
  return hex;
}

inline GBytes *
bytes_of (const char *hex)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  for (; hex[0] != '\0' && hex[1] != '\0'; hex += 2) {
    auto byte = (guint8) (g_ascii_xdigit_value (hex[0]) * 16 + g_ascii_xdigit_value (hex[1]));
    g_byte_array_append (bytes, &byte, 1);
  }
  return g_byte_array_free_to_bytes (g_steal_pointer (&bytes));
}

// Adds a message to the capture, as JSON text with its fields in order and as the CBOR bytes that are sent over
// the network. Takes over the message.
inline void
add (json_t *out, const std::string &name, json_t *message)
{
  g_autoptr (GBytes) bytes = ft_cbor_encode (message);
  char *dump = json_dumps (message, JSON_COMPACT | JSON_ENCODE_ANY);
  json_object_set_new (out, name.c_str (), json_pack ("{s:s, s:s}", "json", dump, "cbor", hex_of (bytes).c_str ()));
  free (dump);
  json_decref (message);
}

// Adds a text to the capture as add() does. Takes over the text.
inline void
add_text (json_t *out, const std::string &name, char *value)
{
  add (out, name, json_string (value));
  g_free (value);
}

// The job specification in an input; the caller owns it. NULL if the wire layer rejects it.
inline FtJobSpec *
job_of (const json_t *input)
{
  FtJobSpec *spec = ft_message_job (json_object_get (input, "body"));
  if (spec == nullptr)
    return nullptr;
  spec->submitted_wall_ms = number (input, "submitted_ms");
  spec->dispatch_watermark = (guint) number (input, "watermark");
  return spec;
}

} // namespace wire_capture
