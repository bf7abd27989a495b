/* The settings file that the platform hands over. */
#pragma once
#include <glib.h>

#include "core/types.h"

typedef struct {
  char *member, *addr;
} FtPeer;

typedef struct {
  char *member, *area;
  char *listen, *peer_listen;
  char *cloud_addr, *store_addr;
  GArray *peers; /* FtPeer */
  FtSettings core;
  double cpu_share, memory_mb, clock_off_ms;
  guint max_connections;
} FtConfig;

/* NULL with `error` naming the field that is missing or wrong. */
FtConfig *ft_config_load (const char *path, GError **error);
/* The same from text, for tests. */
FtConfig *ft_config_parse (const char *text, gsize size, GError **error);
void ft_config_free (FtConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtConfig, ft_config_free)
