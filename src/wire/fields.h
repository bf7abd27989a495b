/**
 * SECTION: fields
 * @title: Fields of messages
 *
 * Functions that read a single field of a decoded message or row. All decoders of src/wire and the
 * decoder of the settings file (config.c) use them, so that each rule for a valid field is in one
 * place.
 *
 * Each reader takes a map and the name of a field. If the map is %NULL or is a value of another
 * type, all of its fields count as missing. A reader returns %TRUE on success. It returns %FALSE and
 * leaves the output as it was if the field is missing, has a value of another type or is out of
 * range.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtWireError:
 * @FT_WIRE_ERROR_MISSING_FIELD: a required field is missing or null
 * @FT_WIRE_ERROR_INVALID_FIELD: a field is of the wrong type or out of range
 *
 * The codes of the error domain %FT_WIRE_ERROR: why a message or row could not be decoded.
 */
typedef enum { FT_WIRE_ERROR_MISSING_FIELD, FT_WIRE_ERROR_INVALID_FIELD } FtWireError;

#define FT_WIRE_ERROR (ft_wire_error_quark ())

/**
 * ft_wire_error_quark:
 *
 * Returns: the quark of %FT_WIRE_ERROR.
 */
GQuark ft_wire_error_quark (void);

/**
 * ft_field_fail:
 * @map: the map that is being decoded
 * @name: name of a field that could not be read
 * @error: (nullable): set to an %FT_WIRE_ERROR whose message names the field
 *
 * Reports a field that is missing or invalid.
 *
 * Returns: always %FALSE, so that a decoder can end with "return ft_field_fail (...)".
 */
gboolean ft_field_fail (const json_t *map, const char *name, GError **error);

/**
 * ft_field_is_null:
 * @map: a map
 * @name: the field's name
 *
 * Returns: whether the field is missing or null. For an optional field both mean the same.
 */
gboolean ft_field_is_null (const json_t *map, const char *name);

/**
 * ft_field_text:
 * @map: a map
 * @name: the field's name
 * @max_bytes: greatest accepted length of the text in bytes
 * @out: (inout) (transfer full): %NULL or an allocated text; on success it is freed and replaced
 *
 * Reads a text of 1 to @max_bytes bytes. A text that contains a zero byte is invalid.
 */
gboolean ft_field_text (const json_t *map, const char *name, gsize max_bytes, char **out);

/**
 * ft_field_text_or_null:
 * @map: a map
 * @name: the field's name
 * @max_bytes: greatest accepted length of the text in bytes
 * @out: (inout) (transfer full) (nullable): %NULL or an allocated text; on success it is freed and
 *   replaced
 *
 * Reads an optional text: a missing or null field sets @out to %NULL and is a success, any other
 * field is read in the same way as by ft_field_text().
 */
gboolean ft_field_text_or_null (const json_t *map, const char *name, gsize max_bytes, char **out);

/**
 * ft_field_texts:
 * @map: a map
 * @name: the field's name
 * @max_bytes: greatest accepted length of each text in bytes
 * @out: (inout) (transfer full): %NULL or an allocated list; on success it is freed and replaced
 *
 * Reads a list of texts, which may be empty. Each text must be valid for ft_field_text().
 */
gboolean ft_field_texts (const json_t *map, const char *name, gsize max_bytes, GStrv *out);

/**
 * ft_field_count:
 * @map: a map
 * @name: the field's name
 * @min: least accepted value
 * @max: greatest accepted value
 * @out: (out): the value
 *
 * Reads an integer from @min to @max. A number that is encoded as a real, like 1.0, is invalid.
 */
gboolean ft_field_count (const json_t *map, const char *name, guint64 min, guint64 max, guint64 *out);

/**
 * ft_field_amount:
 * @map: a map
 * @name: the field's name
 * @min: least accepted value
 * @max: greatest accepted value
 * @out: (out): the value
 *
 * Reads a finite number from @min to @max, either an integer or a real.
 */
gboolean ft_field_amount (const json_t *map, const char *name, double min, double max, double *out);

/**
 * ft_field_bool:
 * @map: a map
 * @name: the field's name
 * @out: (out): the value
 *
 * Reads a boolean.
 */
gboolean ft_field_bool (const json_t *map, const char *name, gboolean *out);
