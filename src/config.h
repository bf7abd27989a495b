/**
 * SECTION: config
 * @title: The settings file
 *
 * Reads the JSON file that the platform passes with --config. The file contains the name and the
 * addresses of this controller, the names and addresses of its peers, the addresses of the services
 * that it uses, and its limits. main.c reads the file once at the start, and the settings do not
 * change afterwards. core/tuning.h has the settings that operators change while a controller runs.
 * The name of a field with a number ends in its unit.
 */
#pragma once
#include <glib.h>

#include "core/types.h"

/**
 * FtConfigError:
 * @FT_CONFIG_ERROR_UNREADABLE: the file cannot be read
 * @FT_CONFIG_ERROR_NOT_JSON: the file is not JSON, or a map contains the same field twice
 * @FT_CONFIG_ERROR_MISSING_FIELD: a field is missing or null
 * @FT_CONFIG_ERROR_WRONG_TYPE: a field has a value of the wrong type
 * @FT_CONFIG_ERROR_OUT_OF_RANGE: a field has a value of the right type that is not valid: a number
 *   that is too small or too large, a text that is empty or too long, or a text that is not an address
 *
 * The codes of the error domain %FT_CONFIG_ERROR: what is wrong with the settings file. The error
 * message contains the path of the field, like "settings.cloud.rps".
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
 * Returns: the quark of %FT_CONFIG_ERROR.
 */
GQuark ft_config_error_quark (void);

/**
 * FtPeer:
 * @member: name of another controller
 * @addr: address at which that controller accepts requests of its peers, as IP:PORT
 *
 * Another controller of the cluster. Owns its texts.
 */
typedef struct {
  char *member, *addr;
} FtPeer;

/**
 * FtConfig:
 * @member: name of this controller
 * @listen: address on which this controller listens for users and workers, as IP:PORT
 * @peer_listen: address on which this controller listens for its peers and for operators, as IP:PORT
 * @cloud_addr: address of the cloud's service, as IP:PORT
 * @store_addr: address of the key-value store, as IP:PORT
 * @peers: (element-type FtPeer): the other controllers
 * @core: the settings of the scheduler; their member name is borrowed from @member
 * @cpu_share: share of a CPU that this process may use; validated but not used
 * @memory_mb: memory in MB that this process may use; validated but not used
 * @clock_skew_ms: greatest difference between wall clocks in milliseconds; validated but not used
 * @max_file_descriptors: greatest number of file descriptors that this process may have open
 *
 * The content of the settings file. Owns everything that it points to.
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
 * @path: path of the settings file
 * @error: set on failure to an %FT_CONFIG_ERROR
 *
 * Reads and checks a settings file. Unknown fields are ignored.
 *
 * Returns: (transfer full) (nullable): the settings, or %NULL if the file cannot be read or any field
 * is missing or not valid.
 */
FtConfig *ft_config_load (const char *path, GError **error);

/**
 * ft_config_parse:
 * @content: the content of a settings file; need not end in a zero byte
 * @size: length of @content in bytes
 * @error: set on failure to an %FT_CONFIG_ERROR
 *
 * Checks the content of a settings file. Unknown fields are ignored.
 *
 * Returns: (transfer full) (nullable): the settings, or %NULL if any field is missing or not valid.
 */
FtConfig *ft_config_parse (const char *content, gsize size, GError **error);

/**
 * ft_config_free:
 * @config: (nullable) (transfer full): settings
 *
 * Frees the settings with everything that they own.
 */
void ft_config_free (FtConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtConfig, ft_config_free)
