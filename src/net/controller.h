/* The controller: creates, connects and owns the modules of src/net, and runs their periodic work from a timer.
 * There is one controller per process. It is the top module of src/net; main.c uses it. */
#pragma once
#include "net/node.h"

/**
 * FtController:
 *
 * The controller. There is one per process; main.c owns it.
 */
typedef struct _FtController FtController;

/**
 * ft_controller_new:
 * @config: the settings file; borrowed, must outlive the controller
 * @error: set to an %FT_HTTP_ERROR if the controller cannot listen on one of its addresses
 *
 * Starts a controller in the default main context.
 *
 * Returns: (transfer full): the controller; %NULL with @error set on failure
 */
FtController *ft_controller_new (const FtConfig *config, GError **error);

/**
 * ft_controller_free:
 * @controller: (nullable) (transfer full): the controller
 *
 * Stops the controller. Waiting requests are answered with 503, and the lease is not released but expires. The
 * main loop must not run during or after the call.
 */
void ft_controller_free (FtController *controller);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtController, ft_controller_free)

/**
 * ft_controller_node:
 *
 * Returns: (transfer none): the controller's modules, for tests that observe them
 */
const FtNode *ft_controller_node (const FtController *controller);
