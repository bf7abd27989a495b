#include "config.h"

#include <math.h>
#include <string.h>

#include <jansson.h>

#include "core/constants.h"
#include "wire/fields.h"

/* No amount in the file comes near this: it only keeps sums of amounts finite. */
#define AMOUNT_MAX 1e12
#define PORT_MAX 65535
/* Least values with which a controller still works; the platform's are far above. */
#define HEARTBEAT_S_MIN 0.01
#define WORKER_TIME_S_MIN 0.1
#define CLOUD_RPS_MIN 0.01
#define CPU_SHARE_MIN 0.0001
#define MEMORY_MB_MIN 1
#define CONNECTIONS_MIN 16

G_DEFINE_QUARK (ft - config - error - quark, ft_config_error)

/* Names the field, by the path `where` of its map, and what is wrong with it; returns FALSE. */
static gboolean
fail (GError **error, FtConfigError code, const char *where, const char *name, const char *what)
{
  g_set_error (error, FT_CONFIG_ERROR, (int) code, "settings: %s%s%s: %s", where, *where != '\0' ? "." : "", name,
               what);
  return FALSE;
}

/* Why a field could not be read, of whose type its value is or is not. */
static FtConfigError
reason (const json_t *map, const char *name, gboolean right_type)
{
  if (ft_field_is_null (map, name))
    return FT_CONFIG_ERROR_MISSING_FIELD;
  return right_type ? FT_CONFIG_ERROR_OUT_OF_RANGE : FT_CONFIG_ERROR_WRONG_TYPE;
}

static gboolean
read_text (const json_t *map, const char *where, const char *name, char **out, GError **error)
{
  if (ft_field_text (map, name, FT_TEXT_MAX, out))
    return TRUE;
  FtConfigError code = reason (map, name, json_is_string (json_object_get (map, name)));
  return fail (error, code, where, name, "a text is needed");
}

static gboolean
read_address (const json_t *map, const char *where, const char *name, char **out, GError **error)
{
  if (!read_text (map, where, name, out, error))
    return FALSE;
  const char *colon = strrchr (*out, ':');
  guint64 port;
  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, &port, NULL))
    return fail (error, FT_CONFIG_ERROR_OUT_OF_RANGE, where, name,
                 "an address with a port is needed, like 10.0.0.1:8080");
  g_autofree char *host = g_strndup (*out, (gsize) (colon - *out));
  if (!g_hostname_is_ip_address (host))
    return fail (error, FT_CONFIG_ERROR_OUT_OF_RANGE, where, name, "the host must be an IP number");
  return TRUE;
}

static gboolean
read_amount (const json_t *map, const char *where, const char *name, double min, double *out, GError **error)
{
  if (ft_field_amount (map, name, min, AMOUNT_MAX, out))
    return TRUE;
  FtConfigError code = reason (map, name, json_is_number (json_object_get (map, name)));
  return fail (error, code, where, name, "a number is needed, and not below its least value");
}

static gboolean
read_whole (const json_t *map, const char *where, const char *name, guint min, guint *out, GError **error)
{
  guint64 value;
  if (!ft_field_count (map, name, min, G_MAXINT32, &value)) {
    FtConfigError code = reason (map, name, json_is_integer (json_object_get (map, name)));
    return fail (error, code, where, name, "a whole number is needed, and not below its least value");
  }
  *out = (guint) value;
  return TRUE;
}

/* A map, or a list, within a map; borrowed from it. NULL with an error if it is not there. */
static const json_t *
find_map (const json_t *map, const char *where, const char *name, GError **error)
{
  const json_t *item = json_object_get (map, name);
  if (json_is_object (item))
    return item;
  fail (error, reason (map, name, FALSE), where, name, "a map is needed");
  return NULL;
}

static const json_t *
find_list (const json_t *map, const char *where, const char *name, GError **error)
{
  const json_t *item = json_object_get (map, name);
  if (json_is_array (item))
    return item;
  fail (error, reason (map, name, FALSE), where, name, "a list is needed");
  return NULL;
}

static gboolean
read_peers (const json_t *root, FtConfig *config, GError **error)
{
  const json_t *list = find_list (root, "", "others", error);
  if (list == NULL)
    return FALSE;
  for (size_t i = 0; i < json_array_size (list); i++) {
    const json_t *item = json_array_get (list, i);
    g_autofree char *where = g_strdup_printf ("others[%zu]", i);
    FtPeer none = { 0 };
    g_array_append_val (config->peers, none);
    FtPeer *peer = &g_array_index (config->peers, FtPeer, i);
    if (!read_text (item, where, "member", &peer->member, error)
        || !read_address (item, where, "peer_addr", &peer->addr, error))
      return FALSE;
  }
  return TRUE;
}

static gboolean
read_teams (const json_t *params, FtConfig *config, GError **error)
{
  const json_t *list = find_list (params, "settings", "teams", error);
  if (list == NULL)
    return FALSE;
  config->core.n_teams = (guint) json_array_size (list);
  config->core.teams = g_new0 (FtTeamLimit, config->core.n_teams);
  for (guint i = 0; i < config->core.n_teams; i++) {
    const json_t *item = json_array_get (list, i);
    g_autofree char *where = g_strdup_printf ("settings.teams[%u]", i);
    FtTeamLimit *team = &config->core.teams[i];
    if (!read_text (item, where, "name", &team->name, error)
        || !read_amount (item, where, "cpus", 0, &team->cpus, error)
        || !read_amount (item, where, "cpus_max", 0, &team->cpus_max, error)
        || !read_amount (item, where, "gpus", 0, &team->gpus, error)
        || !read_amount (item, where, "gpus_max", 0, &team->gpus_max, error))
      return FALSE;
  }
  return TRUE;
}

/* Lowers a limit of the key-value store to the announced next one, if there is one: the change
 * from one to the other is not announced, so requests must fit both. */
static gboolean
lower_amount (const json_t *next, const char *name, double min, double *limit, GError **error)
{
  double value = *limit;
  if (!ft_field_is_null (next, name) && !read_amount (next, "settings.state.next", name, min, &value, error))
    return FALSE;
  *limit = MIN (*limit, value);
  return TRUE;
}

static gboolean
lower_whole (const json_t *next, const char *name, guint min, guint *limit, GError **error)
{
  guint value = *limit;
  if (!ft_field_is_null (next, name) && !read_whole (next, "settings.state.next", name, min, &value, error))
    return FALSE;
  *limit = MIN (*limit, value);
  return TRUE;
}

static gboolean
read_store_limits (const json_t *state, FtSettings *settings, GError **error)
{
  if (!read_amount (state, "settings.state", "rps", FT_STORE_RPS_MIN, &settings->store_rps, error)
      || !read_amount (state, "settings.state", "write_rps", FT_STORE_RPS_MIN, &settings->store_write_rps, error)
      || !read_amount (state, "settings.state", "value_kb", FT_VALUE_KB_MIN, &settings->value_kb, error)
      || !read_whole (state, "settings.state", "txn_ops", FT_TXN_OPS_MIN, &settings->txn_ops, error))
    return FALSE;
  if (ft_field_is_null (state, "next"))
    return TRUE;
  const json_t *next = find_map (state, "settings.state", "next", error);
  return next != NULL && lower_amount (next, "rps", FT_STORE_RPS_MIN, &settings->store_rps, error)
         && lower_amount (next, "write_rps", FT_STORE_RPS_MIN, &settings->store_write_rps, error)
         && lower_amount (next, "value_kb", FT_VALUE_KB_MIN, &settings->value_kb, error)
         && lower_whole (next, "txn_ops", FT_TXN_OPS_MIN, &settings->txn_ops, error);
}

static gboolean
read_workers (const json_t *workers, FtSettings *settings, GError **error)
{
  const char *where = "settings.workers";
  return read_amount (workers, where, "report_s", HEARTBEAT_S_MIN, &settings->heartbeat_s, error)
         && read_amount (workers, where, "lease_s", WORKER_TIME_S_MIN, &settings->lease_s, error)
         && read_amount (workers, where, "cancel_s", WORKER_TIME_S_MIN, &settings->cancel_s, error);
}

static gboolean
read_cloud (const json_t *cloud, FtSettings *settings, GError **error)
{
  return read_amount (cloud, "settings.cloud", "rps", CLOUD_RPS_MIN, &settings->cloud_rps, error)
         && read_amount (cloud, "settings.cloud", "list_lag_s", 0, &settings->list_lag_s, error);
}

static gboolean
read_resources (const json_t *resources, FtConfig *config, GError **error)
{
  const char *where = "settings.resources";
  return read_amount (resources, where, "cpu_share", CPU_SHARE_MIN, &config->cpu_share, error)
         && read_amount (resources, where, "ram_mb", MEMORY_MB_MIN, &config->memory_mb, error)
         && read_whole (resources, where, "fd_limit", CONNECTIONS_MIN, &config->max_file_descriptors, error);
}

static gboolean
read_params (const json_t *root, FtConfig *config, GError **error)
{
  FtSettings *settings = &config->core;
  const json_t *params = find_map (root, "", "settings", error);
  const json_t *workers = params ? find_map (params, "settings", "workers", error) : NULL;
  const json_t *state = workers ? find_map (params, "settings", "state", error) : NULL;
  const json_t *cloud = state ? find_map (params, "settings", "cloud", error) : NULL;
  const json_t *resources = cloud ? find_map (params, "settings", "resources", error) : NULL;
  return resources != NULL && read_whole (params, "settings", "size", 1, &settings->size, error)
         && read_amount (params, "settings", "skew_ms", 0, &config->clock_skew_ms, error)
         && read_workers (workers, settings, error) && read_store_limits (state, settings, error)
         && read_cloud (cloud, settings, error) && read_resources (resources, config, error)
         && read_teams (params, config, error);
}

static gboolean
read_addresses (const json_t *root, FtConfig *config, GError **error)
{
  const json_t *services = find_map (root, "", "services", error);
  return services != NULL && read_text (root, "", "member", &config->member, error)
         && read_address (root, "", "front", &config->listen, error)
         && read_address (root, "", "mesh_addr", &config->peer_listen, error)
         && read_address (services, "services", "cloud", &config->cloud_addr, error)
         && read_address (services, "services", "state", &config->store_addr, error);
}

FtConfig *
ft_config_parse (const char *content, gsize size, GError **error)
{
  json_error_t at;
  json_t *root = json_loadb (content, size, JSON_REJECT_DUPLICATES, &at);
  if (root == NULL) {
    g_set_error (error, FT_CONFIG_ERROR, FT_CONFIG_ERROR_NOT_JSON, "settings: not JSON: line %d: %s", at.line, at.text);
    return NULL;
  }
  g_autoptr (FtConfig) config = g_new0 (FtConfig, 1);
  config->peers = g_array_new (FALSE, TRUE, sizeof (FtPeer));
  gboolean valid
      = read_addresses (root, config, error) && read_peers (root, config, error) && read_params (root, config, error);
  config->core.member = config->member;
  json_decref (root);
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
  return valid ? g_steal_pointer (&config) : NULL;
}

FtConfig *
ft_config_load (const char *path, GError **error)
{
  g_autofree char *content = NULL;
  g_autoptr (GError) unreadable = NULL;
  gsize size = 0;
  if (!g_file_get_contents (path, &content, &size, &unreadable)) {
    g_set_error_literal (error, FT_CONFIG_ERROR, FT_CONFIG_ERROR_UNREADABLE, unreadable->message);
    return NULL;
  }
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
