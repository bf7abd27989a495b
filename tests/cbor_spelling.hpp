// Encodes a message in CBOR in every way that the protocol allows: the same message in another spelling.
#pragma once
#include <glib.h>
#include <jansson.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <string>
#include <vector>

// How a message is spelled.
struct CborSpelling {
  const char *name = "";
  bool long_heads = false;             // lengths and integers take eight bytes, however small they are
  bool indefinite = false;             // maps and arrays have no length; a break ends them
  bool chunked_text = false;           // texts come in chunks of one byte
  bool chunked_keys = false;           // so do the names of fields
  bool integers_as_reals = false;      // 4 is written as 4.0
  bool reals_as_integers = false;      // 4.0 is written as 4
  bool single_reals = false;           // decimal numbers take four bytes if they lose nothing by it
  bool half_integers = false;          // small whole numbers are written as decimals of two bytes
  bool omit_nulls = false;             // fields that are null are left out
  std::vector<std::string> order;      // names of fields that come first, in that order
  std::string extra_first, extra_last; // encoded fields that the receiver does not know; the number of each in `extras`
  size_t extras = 0;
};

class CborWriter {
public:
  explicit CborWriter (const CborSpelling &spelling) : spelling_ (spelling) {}

  std::string
  message (const json_t *map)
  {
    map_head (fields (map).size () + spelling_.extras);
    out_ += spelling_.extra_first;
    for (const std::string &name : fields (map))
      field (name, json_object_get (map, name.c_str ()));
    out_ += spelling_.extra_last;
    end ();
    return out_;
  }

private:
  enum Major { kUnsigned = 0, kNegative = 1, kText = 3, kArray = 4, kMap = 5 };

  void
  byte (unsigned value)
  {
    out_ += (char) (unsigned char) value;
  }
  void
  bytes (guint64 value, int count)
  {
    for (int i = count - 1; i >= 0; i--)
      byte ((unsigned) (value >> (8 * i)) & 0xff);
  }
  void
  head (Major major, guint64 value)
  {
    if (spelling_.long_heads) {
      byte (major << 5 | 27);
      bytes (value, 8);
    } else if (value < 24) {
      byte (major << 5 | (unsigned) value);
    } else if (value < 256) {
      byte (major << 5 | 24);
      bytes (value, 1);
    } else {
      byte (major << 5 | 26);
      bytes (value, 4);
    }
  }
  void
  map_head (size_t count)
  {
    if (spelling_.indefinite)
      byte (kMap << 5 | 31);
    else
      head (kMap, count);
  }
  // Ends a map or an array.
  void
  end ()
  {
    if (spelling_.indefinite)
      byte (0xff);
  }
  void
  text (const std::string &value, bool chunked)
  {
    if (!chunked) {
      head (kText, value.size ());
      out_ += value;
      return;
    }
    byte (kText << 5 | 31);
    for (char c : value) {
      head (kText, 1);
      out_ += c;
    }
    byte (0xff);
  }
  void
  real (double value)
  {
    auto single = (float) value;
    if (spelling_.reals_as_integers && value == std::floor (value) && value >= 0) {
      head (kUnsigned, (guint64) value);
    } else if (spelling_.single_reals && (double) single == value) {
      guint32 bits;
      memcpy (&bits, &single, sizeof bits);
      byte (0xfa);
      bytes (bits, 4);
    } else {
      guint64 bits;
      memcpy (&bits, &value, sizeof bits);
      byte (0xfb);
      bytes (bits, 8);
    }
  }
  // Writes a whole number from 1 to 2047 as a decimal of two bytes.
  void
  half (unsigned value)
  {
    int exponent = (int) std::floor (std::log2 (value));
    byte (0xf9);
    bytes ((guint64) (exponent + 15) << 10 | (guint64) ((value - std::exp2 (exponent)) * std::exp2 (10 - exponent)), 2);
  }
  void
  integer (json_int_t value)
  {
    if (spelling_.half_integers && value >= 1 && value < 2048)
      half ((unsigned) value);
    else if (spelling_.integers_as_reals)
      real ((double) value);
    else if (value < 0)
      head (kNegative, (guint64) (-1 - value));
    else
      head (kUnsigned, (guint64) value);
  }
  void
  value (const json_t *item)
  {
    size_t i;
    json_t *element;
    if (json_is_string (item))
      text (json_string_value (item), spelling_.chunked_text);
    else if (json_is_integer (item))
      integer (json_integer_value (item));
    else if (json_is_real (item))
      real (json_real_value (item));
    else if (json_is_boolean (item))
      byte (json_is_true (item) ? 0xf5 : 0xf4);
    else if (json_is_null (item))
      byte (0xf6);
    else {
      if (spelling_.indefinite)
        byte (kArray << 5 | 31);
      else
        head (kArray, json_array_size (item));
      json_array_foreach ((json_t *) item, i, element) value (element);
      end ();
    }
  }
  void
  field (const std::string &name, const json_t *item)
  {
    text (name, spelling_.chunked_keys);
    value (item);
  }
  // The names of the fields in the order in which they are written.
  std::vector<std::string>
  fields (const json_t *map) const
  {
    std::vector<std::string> names = spelling_.order;
    const char *name;
    json_t *item;
    json_object_foreach ((json_t *) map, name, item)
    {
      bool listed = std::find (names.begin (), names.end (), name) != names.end ();
      if (!listed)
        names.emplace_back (name);
    }
    if (spelling_.omit_nulls)
      names.erase (std::remove_if (
                       names.begin (), names.end (),
                       [map] (const std::string &key) { return json_is_null (json_object_get (map, key.c_str ())); }),
                   names.end ());
    return names;
  }

  const CborSpelling &spelling_;
  std::string out_;
};

// The message in that spelling.
inline std::string
spell (const json_t *map, const CborSpelling &spelling)
{
  return CborWriter (spelling).message (map);
}

// An encoded field "x" whose value is an array that holds an array, and so on, `depth` deep.
inline std::string
nested_field (size_t depth)
{
  return "\x61x" + std::string (depth, '\x81') + '\x01';
}

// An encoded field "y" whose value is a text of that many bytes, from 256 to 65535.
inline std::string
long_text_field (size_t size)
{
  std::string field = "\x61y\x79";
  field += (char) (size >> 8);
  field += (char) (size & 0xff);
  return field + std::string (size, 't');
}

// The spellings in which a sound message must be understood.
inline std::vector<CborSpelling>
sound_spellings ()
{
  std::vector<CborSpelling> all;
  auto add = [&all] (const char *name) -> CborSpelling & {
    all.emplace_back ();
    all.back ().name = name;
    return all.back ();
  };
  add ("plain");
  add ("long heads").long_heads = true;
  add ("indefinite lengths").indefinite = true;
  add ("text in chunks").chunked_text = true;
  add ("field names in chunks").chunked_keys = true;
  add ("whole numbers as decimals").integers_as_reals = true;
  add ("whole numbers as short decimals").half_integers = true;
  add ("decimals as whole numbers").reals_as_integers = true;
  add ("short decimals").single_reals = true;
  add ("nulls left out").omit_nulls = true;
  CborSpelling &small_unknown = add ("an unknown field");
  small_unknown.extra_first = nested_field (3);
  CborSpelling &deep_unknown = add ("an unknown field, deeply nested");
  deep_unknown.extra_last = nested_field (2000);
  CborSpelling &deep_first = add ("an unknown field, deeply nested, first");
  deep_first.extra_first = nested_field (40);
  CborSpelling &large_unknown = add ("a large unknown field");
  large_unknown.extra_first = long_text_field (60000);
  CborSpelling &wide_unknown = add ("an unknown number and an unknown map");
  wide_unknown.extra_last = std::string ("\x61z\x1b\xff\xff\xff\xff\xff\xff\xff\xff", 11) + "\x61w\xa1\x61v\xf6";
  wide_unknown.extras = 2;
  for (CborSpelling &spelling : all)
    if (spelling.extras == 0 && !(spelling.extra_first + spelling.extra_last).empty ())
      spelling.extras = 1;
  CborSpelling &all_at_once = add ("all at once");
  all_at_once.long_heads = all_at_once.indefinite = all_at_once.chunked_text = all_at_once.chunked_keys = true;
  all_at_once.integers_as_reals = all_at_once.single_reals = all_at_once.omit_nulls = true;
  all_at_once.extra_last = nested_field (100);
  all_at_once.extras = 1;
  return all;
}
