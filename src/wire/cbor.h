/**
 * SECTION: cbor
 * @title: CBOR
 *
 * Converts message bodies between CBOR and the value trees of the jansson library. The protocol's
 * CBOR is limited to the JSON data model. Decoders and encoders of src/wire work on value trees; the
 * HTTP code of src/net and worker_heartbeat.c call this module.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * ft_cbor_decode:
 * @data: a message body from an untrusted sender
 * @size: length of @data in bytes
 *
 * Allocates memory only for items that @data contains, never for a length that a header announces.
 *
 * Returns: (transfer full) (nullable): the value tree, or %NULL if @data is not exactly one
 * well-formed item or contains something outside of the JSON data model (byte strings, tags, numbers
 * that are not finite, keys that are not texts). An array or a map that is nested deeper than
 * %FT_NESTING_MAX is in no field that this version knows: it is read over, and null stands for it.
 */
json_t *ft_cbor_decode (const guint8 *data, gsize size);

/**
 * ft_cbor_encode:
 * @value: a value tree
 *
 * Returns: (transfer full): the CBOR encoding of @value, never %NULL. The fields of a map keep
 * their order.
 */
GBytes *ft_cbor_encode (const json_t *value);
