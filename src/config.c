#include "config.h"

#include <math.h>
#include <string.h>

#include <jansson.h>

#include "core/constants.h"
#include "wire/fields.h"

#define CONFIG_ERROR g_quark_from_static_string ("flintrack-settings")

/* Names the field and what is wrong with it. */
static gboolean
complain (GError **error, const char *where, const char *name, const char *what)
{
  g_set_error (error, CONFIG_ERROR, 1, "settings: %s%s%s: %s", where, *where != '\0' ? "." : "", name, what);
  return FALSE;
}

static gboolean
text (const json_t *map, const char *where, const char *name, char **out, GError **error)
{
  return ft_field_text (map, name, FT_TEXT_MAX, out) || complain (error, where, name, "a text is needed");
}

static gboolean
address (const json_t *map, const char *where, const char *name, char **out, GError **error)
{
  if (!text (map, where, name, out, error))
    return FALSE;
  const char *colon = strrchr (*out, ':');
  guint64 port;
  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return complain (error, where, name, "an address with a port is needed, like 10.0.0.1:8080");
  g_autofree char *host = g_strndup (*out, (gsize) (colon - *out));
  return g_hostname_is_ip_address (host) || complain (error, where, name, "the host must be an IP number");
}

static gboolean
amount (const json_t *map, const char *where, const char *name, double least, double *out, GError **error)
{
  return ft_field_amount (map, name, least, 1e12, out)
         || complain (error, where, name, "a number is needed, and not below its least value");
}

static gboolean
whole (const json_t *map, const char *where, const char *name, guint least, guint *out, GError **error)
{
  guint64 value;
  if (!ft_field_count (map, name, least, G_MAXINT32, &value))
    return complain (error, where, name, "a whole number is needed, and not below its least value");
  *out = (guint) value;
  return TRUE;
}

static const json_t *
section (const json_t *map, const char *where, const char *name, gboolean list, GError **error)
{
  const json_t *item = json_object_get (map, name);
  if (list ? json_is_array (item) : json_is_object (item))
    return item;
  complain (error, where, name, list ? "a list is needed" : "a map is needed");
  return NULL;
}

static gboolean
read_peers (const json_t *root, FtConfig *config, GError **error)
{
  const json_t *list = section (root, "", "others", TRUE, error);
  if (list == NULL)
    return FALSE;
  for (size_t i = 0; i < json_array_size (list); i++) {
    const json_t *item = json_array_get (list, i);
    g_autofree char *where = g_strdup_printf ("others[%zu]", i);
    FtPeer none = { 0 };
    g_array_append_val (config->peers, none);
    FtPeer *peer = &g_array_index (config->peers, FtPeer, i);
    if (!text (item, where, "member", &peer->member, error) || !address (item, where, "peer_addr", &peer->addr, error))
      return FALSE;
  }
  return TRUE;
}

static gboolean
read_teams (const json_t *params, FtConfig *config, GError **error)
{
  const json_t *list = section (params, "settings", "teams", TRUE, error);
  if (list == NULL)
    return FALSE;
  config->core.n_teams = (guint) json_array_size (list);
  config->core.teams = g_new0 (FtTeamLimit, config->core.n_teams);
  for (guint i = 0; i < config->core.n_teams; i++) {
    const json_t *item = json_array_get (list, i);
    g_autofree char *where = g_strdup_printf ("settings.teams[%u]", i);
    FtTeamLimit *team = &config->core.teams[i];
    if (!text (item, where, "name", &team->name, error) || !amount (item, where, "cpus", 0, &team->cpus, error)
        || !amount (item, where, "cpus_max", 0, &team->cpus_max, error)
        || !amount (item, where, "gpus", 0, &team->gpus, error)
        || !amount (item, where, "gpus_max", 0, &team->gpus_max, error))
      return FALSE;
  }
  return TRUE;
}

/* The limit that holds from now on, and is lowered to that of `next` if it has the field: when
 * the state service changes to its next limits nobody tells, so what is written fits both. */
static gboolean
lower_amount (const json_t *next, const char *name, double least, double *limit, GError **error)
{
  double value = *limit;
  if (!ft_field_is_null (next, name) && !amount (next, "settings.state.next", name, least, &value, error))
    return FALSE;
  *limit = MIN (*limit, value);
  return TRUE;
}

static gboolean
lower_whole (const json_t *next, const char *name, guint least, guint *limit, GError **error)
{
  guint value = *limit;
  if (!ft_field_is_null (next, name) && !whole (next, "settings.state.next", name, least, &value, error))
    return FALSE;
  *limit = MIN (*limit, value);
  return TRUE;
}

static gboolean
read_store_limits (const json_t *state, FtSettings *settings, GError **error)
{
  if (!amount (state, "settings.state", "rps", FT_STORE_RPS_MIN, &settings->store_rps, error)
      || !amount (state, "settings.state", "write_rps", FT_STORE_RPS_MIN, &settings->store_write_rps, error)
      || !amount (state, "settings.state", "value_kb", FT_VALUE_KB_MIN, &settings->value_kb, error)
      || !whole (state, "settings.state", "txn_ops", FT_TXN_OPS_MIN, &settings->txn_ops, error))
    return FALSE;
  if (ft_field_is_null (state, "next"))
    return TRUE;
  const json_t *next = section (state, "settings.state", "next", FALSE, error);
  return next != NULL && lower_amount (next, "rps", FT_STORE_RPS_MIN, &settings->store_rps, error)
         && lower_amount (next, "write_rps", FT_STORE_RPS_MIN, &settings->store_write_rps, error)
         && lower_amount (next, "value_kb", FT_VALUE_KB_MIN, &settings->value_kb, error)
         && lower_whole (next, "txn_ops", FT_TXN_OPS_MIN, &settings->txn_ops, error);
}

static gboolean
read_params (const json_t *root, FtConfig *config, GError **error)
{
  const json_t *params = section (root, "", "settings", FALSE, error);
  const json_t *workers = params ? section (params, "settings", "workers", FALSE, error) : NULL;
  const json_t *state = workers ? section (params, "settings", "state", FALSE, error) : NULL;
  const json_t *cloud = state ? section (params, "settings", "cloud", FALSE, error) : NULL;
  const json_t *limits = cloud ? section (params, "settings", "resources", FALSE, error) : NULL;
  FtSettings *settings = &config->core;
  return limits != NULL && whole (params, "settings", "size", 1, &settings->size, error)
         && amount (params, "settings", "skew_ms", 0, &config->clock_off_ms, error)
         && amount (workers, "settings.workers", "report_s", 0.01, &settings->heartbeat_s, error)
         && amount (workers, "settings.workers", "lease_s", 0.1, &settings->lease_s, error)
         && amount (workers, "settings.workers", "cancel_s", 0.1, &settings->cancel_s, error)
         && read_store_limits (state, settings, error)
         && amount (cloud, "settings.cloud", "rps", 0.01, &settings->cloud_rps, error)
         && amount (cloud, "settings.cloud", "list_lag_s", 0, &settings->list_lag_s, error)
         && amount (limits, "settings.resources", "cpu_share", 0.0001, &config->cpu_share, error)
         && amount (limits, "settings.resources", "ram_mb", 1, &config->memory_mb, error)
         && whole (limits, "settings.resources", "fd_limit", 16, &config->max_connections, error)
         && read_teams (params, config, error);
}

FtConfig *
ft_config_parse (const char *content, gsize size, GError **error)
{
  json_error_t at;
  json_t *root = json_loadb (content, size, JSON_REJECT_DUPLICATES, &at);
  if (root == NULL) {
    g_set_error (error, CONFIG_ERROR, 0, "settings: not JSON: line %d: %s", at.line, at.text);
    return NULL;
  }
  g_autoptr (FtConfig) c = g_new0 (FtConfig, 1);
  c->peers = g_array_new (FALSE, TRUE, sizeof (FtPeer));
  const json_t *services = section (root, "", "services", FALSE, error);
  gboolean ok = services != NULL && text (root, "", "member", &c->member, error)
                && address (root, "", "front", &c->listen, error)
                && address (root, "", "mesh_addr", &c->peer_listen, error)
                && address (services, "services", "cloud", &c->cloud_addr, error)
                && address (services, "services", "state", &c->store_addr, error) && read_peers (root, c, error)
                && read_params (root, c, error);
  c->core.member = c->member;
  json_decref (root);
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
  return ok ? g_steal_pointer (&c) : NULL;
}

FtConfig *
ft_config_load (const char *path, GError **error)
{
  g_autofree char *content = NULL;
  gsize size = 0;
  if (!g_file_get_contents (path, &content, &size, error))
    return NULL;
  return ft_config_parse (content, size, error);
}

void
ft_config_free (FtConfig *config)
{
  if (config == NULL)
    return;
  for (guint i = 0; i < config->peers->len; i++) {
    g_free (g_array_index (config->peers, FtPeer, i).member);
    g_free (g_array_index (config->peers, FtPeer, i).addr);
  }
  g_array_unref (config->peers);
  for (guint i = 0; i < config->core.n_teams; i++)
    g_free (config->core.teams[i].name);
  g_free (config->core.teams);
  g_free (config->member);
  g_free (config->listen);
  g_free (config->peer_listen);
  g_free (config->cloud_addr);
  g_free (config->store_addr);
  g_free (config);
}
