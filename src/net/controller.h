/* A controller, one per process: it makes the modules of src/net, connects and owns them, and its
 * timer drives them. The top of src/net; used by main.c. */
#pragma once
#include "net/node.h"

typedef struct _FtController FtController;

/**
 * ft_controller_new:
 * @config: borrowed for the controller's life
 * @error: that of ft_http_server_new(), if an address cannot be listened on
 *
 * Starts a controller in the default main context.
 *
 * Returns: (transfer full): the controller, or NULL with @error set
 */
FtController *ft_controller_new (const FtConfig *config, GError **error);

/**
 * ft_controller_free:
 * @controller: (nullable) (transfer full): the controller
 *
 * Stops it: requests that wait are refused, and the lease is left to expire. The main loop must
 * not run any more.
 */
void ft_controller_free (FtController *controller);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtController, ft_controller_free)

/**
 * ft_controller_node:
 *
 * Returns: (transfer none): its parts, for tests that observe them
 */
const FtNode *ft_controller_node (const FtController *controller);
