/**
 * SECTION: fields
 * @title: Fields of messages
 *
 * Strict reading of single fields out of a decoded message or row. All decoders of src/wire and
 * the settings file's (config.c) are made of these, so that what is valid is said in one place.
 *
 * Each reader takes the map, which may be %NULL or no map at all (every field is then missing),
 * and the field's name. It returns %FALSE and leaves the target as it was when the field is
 * missing, of another type or out of range.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtWireError:
 * @FT_WIRE_ERROR_MISSING_FIELD: a field that must be there is missing or null
 * @FT_WIRE_ERROR_INVALID_FIELD: a field is of the wrong type or out of range
 *
 * Why a message or row could not be decoded; codes of the domain %FT_WIRE_ERROR.
 */
typedef enum { FT_WIRE_ERROR_MISSING_FIELD, FT_WIRE_ERROR_INVALID_FIELD } FtWireError;

#define FT_WIRE_ERROR (ft_wire_error_quark ())

/**
 * ft_wire_error_quark:
 *
 * Returns: the error domain; used by way of %FT_WIRE_ERROR.
 */
GQuark ft_wire_error_quark (void);

/**
 * ft_field_fail:
 * @map: the map in which a field could not be read
 * @name: the field's name
 * @error: (nullable): set to an %FT_WIRE_ERROR that names the field
 *
 * Returns: %FALSE, so that a decoder can return it.
 */
gboolean ft_field_fail (const json_t *map, const char *name, GError **error);

/**
 * ft_field_is_null:
 * @map: a map
 * @name: the field's name
 *
 * Returns: whether the field is missing or null; both mean the same in optional fields.
 */
gboolean ft_field_is_null (const json_t *map, const char *name);

/**
 * ft_field_text:
 * @map: a map
 * @name: the field's name
 * @max_bytes: longest text accepted
 * @out: (inout) (transfer full): %NULL or a text, which is freed and replaced
 *
 * Reads a text of 1 to @max_bytes bytes without a zero byte in it.
 */
gboolean ft_field_text (const json_t *map, const char *name, gsize max_bytes, char **out);

/**
 * ft_field_text_or_null:
 * @map: a map
 * @name: the field's name
 * @max_bytes: longest text accepted
 * @out: (inout) (transfer full) (nullable): as of ft_field_text(); %NULL if the field is missing or null
 */
gboolean ft_field_text_or_null (const json_t *map, const char *name, gsize max_bytes, char **out);

/**
 * ft_field_texts:
 * @map: a map
 * @name: the field's name
 * @max_bytes: longest text accepted
 * @out: (inout) (transfer full): %NULL or a list of texts, which is freed and replaced
 *
 * Reads a list, which may be empty, of texts as of ft_field_text().
 */
gboolean ft_field_texts (const json_t *map, const char *name, gsize max_bytes, GStrv *out);

/**
 * ft_field_count:
 * @map: a map
 * @name: the field's name
 * @min: least value accepted
 * @max: greatest value accepted
 * @out: (out): the value
 *
 * Reads a whole number from @min to @max; a number written with a fraction is none.
 */
gboolean ft_field_count (const json_t *map, const char *name, guint64 min, guint64 max, guint64 *out);

/**
 * ft_field_amount:
 * @map: a map
 * @name: the field's name
 * @min: least value accepted
 * @max: greatest value accepted
 * @out: (out): the value
 *
 * Reads any finite number from @min to @max.
 */
gboolean ft_field_amount (const json_t *map, const char *name, double min, double max, double *out);

/**
 * ft_field_bool:
 * @map: a map
 * @name: the field's name
 * @out: (out): the value
 */
gboolean ft_field_bool (const json_t *map, const char *name, gboolean *out);
