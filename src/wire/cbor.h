/**
 * SECTION: cbor
 * @title: CBOR
 *
 * The protocol's bodies are CBOR of the JSON data model. Both are converted to and from jansson's
 * value tree, on which all decoders and encoders of src/wire work. Called by the HTTP code of
 * src/net for each body.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * ft_cbor_decode:
 * @data: bytes that anybody may have sent
 * @size: their number
 *
 * Memory is used for what is there, not for lengths that are merely announced.
 *
 * Returns: (transfer full) (nullable): the value, or %NULL if @data is not exactly one well-formed
 * item, has a part outside of the JSON model (byte strings, tags, numbers that are not finite, keys
 * that are not texts) or is nested deeper than %FT_NESTING_MAX.
 */
json_t *ft_cbor_decode (const guint8 *data, gsize size);

/**
 * ft_cbor_encode:
 * @value: a value tree
 *
 * Returns: (transfer full): its encoding, maps in the order of their fields; never %NULL.
 */
GBytes *ft_cbor_encode (const json_t *value);
