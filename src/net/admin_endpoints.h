/* The handlers of the administration API, called by the routes of admin.c. Private to admin*.c.
 *
 * Every function with an FtHttpRequest argument takes ownership of the request and answers it, now or later. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_admin_refuse:
 * @request: (transfer full): the request
 * @status: the answer's HTTP status
 * @format: printf-style format of the error message for the operator
 *
 * Answers the request with an error message.
 */
void ft_admin_refuse (FtHttpRequest *request, FtHttpStatus status, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* ---- defined in admin_status.c ---- */

/**
 * ft_admin_get_status:
 * @request: (transfer full): GET /admin/status
 *
 * Answers with the status of this controller: its version, readiness, lease state and leader, whether it can
 * reach the key-value store, and its peers.
 */
void ft_admin_get_status (FtNode *node, FtHttpRequest *request);

/**
 * ft_admin_get_metrics:
 * @request: (transfer full): GET /admin/metrics
 *
 * Answers with the counters and latencies since the start of this controller. On the leader, the counters
 * include the current numbers of open and waiting jobs.
 */
void ft_admin_get_metrics (FtNode *node, FtHttpRequest *request);

/**
 * ft_admin_has_list:
 *
 * Returns: whether @name is the name of a list: "teams", "jobs", "queue" or "machines"
 */
gboolean ft_admin_has_list (const char *name);

/**
 * ft_admin_get_list:
 * @node: a controller that leads and has recovered
 * @request: (transfer full): GET /admin/NAME
 * @name: the name of a list; see ft_admin_has_list()
 *
 * Answers with the list.
 */
void ft_admin_get_list (FtNode *node, FtHttpRequest *request, const char *name);

/* ---- defined in admin_settings.c ---- */

/**
 * ft_admin_get_settings:
 * @request: (transfer full): GET /admin/settings
 *
 * Answers with the settings in force on this controller, their version, and each setting's default and range.
 */
void ft_admin_get_settings (FtNode *node, FtHttpRequest *request);

/**
 * ft_admin_put_settings:
 * @request: (transfer full): PUT /admin/settings with {"version": N, "set": {NAME: VALUE}}
 *
 * Commits the changed settings as a compare-and-swap on their version, and applies them on this controller. The
 * other controllers read them from the key-value store within FT_SETTINGS_EVERY_S seconds.
 */
void ft_admin_put_settings (FtNode *node, FtHttpRequest *request);

/* ---- defined in admin_drains.c ---- */

/**
 * ft_admin_drain:
 * @node: a controller that leads and has recovered
 * @request: (transfer full): POST /admin/machines/NAME/drain
 * @machine: the machine's name
 *
 * Commits the drain of the machine, then makes the scheduler start no more tasks on it. Answers 404 if the
 * leader does not know the machine.
 */
void ft_admin_drain (FtNode *node, FtHttpRequest *request, const char *machine);

/**
 * ft_admin_undrain:
 * @node: a controller that leads and has recovered
 * @request: (transfer full): POST /admin/machines/NAME/undrain
 * @machine: the machine's name
 *
 * Removes the drain of the machine. The machine need not be known to the leader.
 */
void ft_admin_undrain (FtNode *node, FtHttpRequest *request, const char *machine);
