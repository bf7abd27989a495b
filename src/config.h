/**
 * SECTION: config
 * @title: The settings file
 *
 * The JSON file that the platform hands over with --config: this controller's name and addresses,
 * those of its peers and of the services it uses, and the limits that hold for it. It is read once
 * at the start (main.c) and never changes after that; what operators change while a controller
 * runs is in core/tuning.h. Names of numbers end in their unit.
 */
#pragma once
#include <glib.h>

#include "core/types.h"

/**
 * FtConfigError:
 * @FT_CONFIG_ERROR_UNREADABLE: the file cannot be read
 * @FT_CONFIG_ERROR_NOT_JSON: its content is not JSON, or a map has a field twice
 * @FT_CONFIG_ERROR_MISSING_FIELD: a field is missing or null
 * @FT_CONFIG_ERROR_WRONG_TYPE: a field has a value of another type
 * @FT_CONFIG_ERROR_OUT_OF_RANGE: a field has a value of the right type that it may not have: a
 *   number too small or great, a text empty or too long, a text that is not an address
 *
 * What is wrong with the settings file; codes of the domain %FT_CONFIG_ERROR. The message names
 * the field by its path, as "settings.cloud.rps".
 */
typedef enum {
  FT_CONFIG_ERROR_UNREADABLE,
  FT_CONFIG_ERROR_NOT_JSON,
  FT_CONFIG_ERROR_MISSING_FIELD,
  FT_CONFIG_ERROR_WRONG_TYPE,
  FT_CONFIG_ERROR_OUT_OF_RANGE,
} FtConfigError;

#define FT_CONFIG_ERROR (ft_config_error_quark ())

/**
 * ft_config_error_quark:
 *
 * Returns: the error domain; used by way of %FT_CONFIG_ERROR.
 */
GQuark ft_config_error_quark (void);

/**
 * FtPeer:
 * @member: name of another controller
 * @addr: address at which it takes requests of its peers, as IP:PORT
 */
typedef struct {
  char *member, *addr;
} FtPeer;

/**
 * FtConfig:
 * @member: name of this controller
 * @listen: address on which users and workers are served, as IP:PORT
 * @peer_listen: address on which peers are served
 * @cloud_addr: address of the cloud's service
 * @store_addr: address of the key-value store
 * @peers: (element-type FtPeer): the other controllers
 * @core: what the scheduler needs; its member is that of this structure
 * @cpu_share: share of a CPU that this process may use; checked, but nothing depends on it
 * @memory_mb: memory that this process may use; checked, but nothing depends on it
 * @clock_skew_ms: most that wall clocks differ; checked, but nothing depends on it
 * @max_file_descriptors: most file descriptors that this process may have open
 *
 * The whole file. Owns all that it points to.
 */
typedef struct {
  char *member;
  char *listen, *peer_listen;
  char *cloud_addr, *store_addr;
  GArray *peers;
  FtSettings core;
  double cpu_share, memory_mb, clock_skew_ms;
  guint max_file_descriptors;
} FtConfig;

/**
 * ft_config_load:
 * @path: name of the file
 * @error: set on failure to an %FT_CONFIG_ERROR
 *
 * Returns: (transfer full) (nullable): the settings, or %NULL if any part is missing or wrong;
 * unknown fields are ignored.
 */
FtConfig *ft_config_load (const char *path, GError **error);

/**
 * ft_config_parse:
 * @content: text of a settings file; need not end in a zero byte
 * @size: its length in bytes
 * @error: set on failure to an %FT_CONFIG_ERROR
 *
 * Returns: (transfer full) (nullable): as ft_config_load().
 */
FtConfig *ft_config_parse (const char *content, gsize size, GError **error);

/**
 * ft_config_free:
 * @config: (nullable) (transfer full): settings
 */
void ft_config_free (FtConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtConfig, ft_config_free)
