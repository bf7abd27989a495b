/* CBOR to and from the value tree that jansson offers. The protocol's bodies
 * are of the JSON model, so that tree holds all of them. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* Returns a new tree, or NULL when `data` is not exactly one well-formed item
 * of the JSON model, is nested too deep, or a map key is not text. */
json_t *ft_cbor_decode (const guint8 *data, gsize size);

/* Returns the encoded bytes; never fails on a tree of the JSON model. */
GBytes *ft_cbor_encode (const json_t *value);
