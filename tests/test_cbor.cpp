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
  std::vector<guint8> deep (FT_NESTING_MAX + 1, 0x81);
  deep.push_back (0x01);
  EXPECT_EQ (ft_cbor_decode (deep.data (), deep.size ()), nullptr);
  json_t *allowed = ft_cbor_decode (deep.data () + 1, deep.size () - 1);
  EXPECT_NE (allowed, nullptr);
  json_decref (allowed);
}

} // namespace
