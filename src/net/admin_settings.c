/* The settings of the administration API: reading the settings in force (settings_reader.h), and changing them by
 * a compare-and-swap on their version. */
#include "net/admin_endpoints.h"
#include "net/settings_reader.h"
#include "net/store_client.h"
#include "wire/store.h"

/* A change of the settings whose commit is in flight. */
typedef struct {
  FtNode *node;
  FtHttpRequest *request;
  FtTuning tuning; /* all settings after the change */
} SettingsChange;

static json_t *
settings_body (const FtTuning *tuning, guint64 version)
{
  guint length;
  const FtTuningInfo *table = ft_tuning_table (&length);
  FtTuning defaults;
  ft_tuning_defaults (&defaults);
  json_t *list = json_array ();
  for (guint i = 0; i < length; i++) {
    json_t *item = json_pack ("{s:s, s:o, s:s, s:f, s:f, s:s}", "name", table[i].name, "value",
                              ft_setting_value (tuning, &table[i]), "unit", table[i].unit, "least", table[i].min_value,
                              "most", table[i].max_value, "what", table[i].description);
    json_object_set_new (item, "default", ft_setting_value (&defaults, &table[i]));
    json_array_append_new (list, item);
  }
  return json_pack ("{s:I, s:o}", "version", (json_int_t) version, "settings", list);
}

void
ft_admin_get_settings (FtNode *node, FtHttpRequest *request)
{
  const FtSettingsReader *settings = node->settings;
  const FtTuning *tuning = ft_settings_reader_tuning (settings);
  ft_http_respond (request, FT_HTTP_OK, settings_body (tuning, ft_settings_reader_version (settings)));
}

/* ---- changing the settings ---- */

static void
on_committed (FtStoreResult result, const json_t *body, gpointer data)
{
  SettingsChange *change = data;
  guint64 revision;
  if (result == FT_STORE_OK && ft_store_revision (body, &revision)) {
    ft_settings_reader_apply (change->node->settings, &change->tuning, revision);
    ft_http_respond (change->request, FT_HTTP_OK, settings_body (&change->tuning, revision));
  } else if (result == FT_STORE_CONFLICT) {
    ft_settings_reader_read_soon (change->node->settings);
    ft_admin_refuse (change->request, FT_HTTP_CONFLICT, "the settings have changed meanwhile: read them again");
  } else {
    ft_admin_refuse (change->request, FT_HTTP_UNAVAILABLE,
                     "the state service did not confirm the change: read the settings again");
  }
  g_free (change);
}

/* Sets one setting in `tuning`. JSON null sets the default. Returns FALSE if the value is invalid; the request
 * has then been answered with an error. */
static gboolean
set_value (FtHttpRequest *request, FtTuning *tuning, const char *name, const json_t *value)
{
  const FtTuningInfo *info = ft_tuning_find (name);
  if (info == NULL) {
    ft_admin_refuse (request, FT_HTTP_NOT_FOUND, "there is no setting %s", name);
    return FALSE;
  }
  double number = info->default_value;
  if (!json_is_null (value) && !ft_setting_parse (info, value, &number)) {
    ft_admin_refuse (request, FT_HTTP_UNPROCESSABLE, "%s: from %g to %g %s", name, info->min_value, info->max_value,
                     info->unit);
    return FALSE;
  }
  ft_tuning_set (tuning, info, number);
  return TRUE;
}

/* Parses the body {"version": N, "set": {NAME: VALUE}} and applies it to a copy of the settings in force.
 * Returns FALSE if the body is invalid; the request has then been answered with an error. */
static gboolean
read_change (FtNode *node, FtHttpRequest *request, FtTuning *tuning, guint64 *version)
{
  const json_t *body = ft_http_body (request);
  const json_t *requested = json_object_get (body, "version"), *set = json_object_get (body, "set");
  const char *name;
  json_t *value;
  if (!json_is_integer (requested) || json_integer_value (requested) < 0 || !json_is_object (set)) {
    ft_admin_refuse (request, FT_HTTP_BAD_REQUEST, "needed: {\"version\": N, \"set\": {NAME: VALUE}}");
    return FALSE;
  }
  *version = (guint64) json_integer_value (requested);
  *tuning = *ft_settings_reader_tuning (node->settings);
  json_object_foreach ((json_t *) set, name, value)
  {
    if (!set_value (request, tuning, name, value))
      return FALSE;
  }
  return TRUE;
}

/* Checks whether the change may be committed. Returns FALSE if not; the request has then been answered with an
 * error. */
static gboolean
check_change (FtNode *node, FtHttpRequest *request, const FtTuning *tuning, guint64 version)
{
  guint64 version_in_force = ft_settings_reader_version (node->settings);
  if (version != version_in_force) {
    ft_admin_refuse (request, FT_HTTP_CONFLICT, "the settings are at version %" G_GUINT64_FORMAT, version_in_force);
    return FALSE;
  }
  g_autofree char *error = ft_tuning_check (tuning, &node->config->core);
  if (error != NULL) {
    ft_admin_refuse (request, FT_HTTP_UNPROCESSABLE, "%s", error);
    return FALSE;
  }
  if (!ft_store_client_has_contact (node->store, g_get_monotonic_time ())) {
    ft_admin_refuse (request, FT_HTTP_UNAVAILABLE, "the state service does not answer");
    return FALSE;
  }
  return TRUE;
}

/* Returns the value of the settings row, which contains every setting. */
static json_t *
settings_row (const FtTuning *tuning)
{
  guint length;
  const FtTuningInfo *table = ft_tuning_table (&length);
  json_t *row = json_object ();
  for (guint i = 0; i < length; i++)
    json_object_set_new (row, table[i].name, ft_setting_value (tuning, &table[i]));
  return row;
}

void
ft_admin_put_settings (FtNode *node, FtHttpRequest *request)
{
  FtTuning tuning;
  guint64 version;
  if (!read_change (node, request, &tuning, &version) || !check_change (node, request, &tuning, version))
    return;
  SettingsChange *change = g_new0 (SettingsChange, 1);
  change->node = node;
  change->request = request;
  change->tuning = tuning;
  json_auto_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_SETTINGS, version);
  ft_txn_put (txn, FT_KEY_SETTINGS, settings_row (&tuning));
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_COMMIT, on_committed, change);
}
