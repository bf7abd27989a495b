// Tests of the CBOR codec: a decoded value equals the encoded one, and data outside the JSON model is refused.
#include <gtest/gtest.h>

#include <vector>

#include "json_text.hpp"

extern "C" {
#include "core/constants.h"
#include "wire/cbor.h"
}

namespace {

TEST (Cbor, RoundTripKeepsTheValueAndTruncatedDataIsRefused)
{
  json_t *value = parse_json ("{\"a\":[1,-7,2.5,null,true,false,\"text\"],\"b\":{\"c\":9007199254740993},\"d\":[]}");
  GBytes *bytes = ft_cbor_encode (value);
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
  json_t *back = ft_cbor_decode (data, size);
  EXPECT_TRUE (json_equal (value, back));
  // Every proper prefix of the encoding is malformed, so the decoder refuses it.
  for (gsize n = 0; n < size; n++)
    EXPECT_EQ (ft_cbor_decode (data, n), nullptr) << n;
  json_decref (value);
  json_decref (back);
  g_bytes_unref (bytes);
}

TEST (Cbor, DataOtherThanOneItemOfTheJsonModelIsRefused)
{
  const std::vector<std::vector<guint8> > bad = {
    {},                                                       // no data at all
    { 0x01, 0x02 },                                           // two items
    { 0x41, 0x00 },                                           // a byte string
    { 0xa1, 0x01, 0x02 },                                     // a key that is not text
    { 0xc1, 0x01 },                                           // a tagged item
    { 0x61, 0xff },                                           // a text that is not UTF-8
    { 0xf9, 0x7e, 0x00 },                                     // the floating-point value NaN
    { 0xff },                                                 // a break outside an indefinite-length item
    { 0xbf, 0x61, 0x61, 0xff },                               // a map key without a value
    { 0xf7 },                                                 // the simple value "undefined"
    { 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff }, // an array header that announces 2^64 - 1 items
  };
  for (const auto &bytes : bad)
    EXPECT_EQ (ft_cbor_decode (bytes.data (), bytes.size ()), nullptr) << testing::PrintToString (bytes);
}

// Guards against a sound message that is refused for the depth of a field that the receiver does not know.
TEST (Cbor, ValuesNestedTooDeepAreReadOverAndNullStandsForThem)
{
  for (size_t depth : { (size_t) FT_NESTING_MAX + 1, (size_t) FT_NESTING_MAX + 2, (size_t) FT_BODY_MAX - 1 }) {
    for (guint8 opening : { 0x81, 0x9f }) {
      std::vector<guint8> deep (depth, opening);
      deep.push_back (0x01);
      if (opening == 0x9f)
        deep.insert (deep.end (), depth, 0xff);
      json_t *value = ft_cbor_decode (deep.data (), deep.size ());
      const json_t *inner = value;
      for (int level = 0; level < FT_NESTING_MAX; level++)
        inner = json_array_get (inner, 0);
      EXPECT_TRUE (json_is_null (inner)) << depth;
      json_decref (value);
      deep.pop_back ();
      EXPECT_EQ (ft_cbor_decode (deep.data (), deep.size ()), nullptr) << depth;
    }
  }
}

TEST (Cbor, WhatIsReadOverMustBeWellFormed)
{
  const std::vector<std::pair<std::vector<guint8>, bool> > cases = {
    { { 0xa1, 0x61, 'a', 0x82, 0x01, 0x80 }, true },                     // a map of an array of two
    { { 0xbf, 0x61, 'a', 0x9f, 0x01, 0xff, 0xff }, true },               // the same without lengths
    { { 0x7f, 0x61, 'a', 0x61, 'b', 0xff }, true },                      // a text in chunks
    { { 0x82, 0x01, 0xff }, false },                                     // a break in a definite array
    { { 0x7f, 0x61, 'a', 0x01, 0xff }, false },                          // a number in a text
    { { 0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff }, false }, // a map of 2^64 - 1 entries
    { { 0x41, 0x00 }, false },                                           // a byte string
    { { 0xc1, 0x01 }, false },                                           // a tagged item
  };
  for (const auto &[inner, sound] : cases) {
    std::vector<guint8> message (FT_NESTING_MAX + 1, 0x81);
    message.insert (message.end (), inner.begin (), inner.end ());
    json_t *value = ft_cbor_decode (message.data (), message.size ());
    EXPECT_EQ (value != nullptr, sound) << testing::PrintToString (inner);
    json_decref (value);
  }
}

} // namespace
