/**
 * SECTION:transport
 * @title: Requests of flintctl to the controllers
 *
 * Sends requests of the administration API to the controllers' mesh addresses, one after the other until one
 * answers, and follows the address of the leader that a controller names (status 421). Blocking: it runs the main
 * loop until the answer has come or the time-out of FT_CTL_TIMEOUT_S seconds for each controller is over.
 * It owns the HTTP client; the commands call it. It prints nothing.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

typedef struct _FtCtlTransport FtCtlTransport;

/**
 * ft_ctl_transport_new:
 * @nodes: (transfer none): addresses HOST:PORT in the order in which they are asked; must outlive the transport
 *
 * Returns: (transfer full): a transport; free it with ft_ctl_transport_free ().
 */
FtCtlTransport *ft_ctl_transport_new (char *const *nodes);

/** ft_ctl_transport_free: frees @transport (nullable) and its HTTP client. */
void ft_ctl_transport_free (FtCtlTransport *transport);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCtlTransport, ft_ctl_transport_free)

/**
 * ft_ctl_transport_request:
 * @transport: the transport
 * @method: GET, POST or PUT
 * @path: the path, with reserved characters escaped
 * @body: (nullable): the body; stays the caller's
 * @error: %FT_CTL_ERROR_NO_ANSWER or %FT_CTL_ERROR_REFUSED
 *
 * A request may reach more than one controller if the first does not answer in time, so @method and @body must be
 * idempotent: the API's changes are.
 *
 * Returns: (transfer full): the JSON object of an answer with status 200, %NULL with @error set otherwise.
 */
json_t *ft_ctl_transport_request (FtCtlTransport *transport, const char *method, const char *path, const json_t *body,
                                  GError **error);

/**
 * ft_ctl_transport_unanswered:
 * @transport: the transport
 *
 * Returns: (transfer none) (element-type utf8): the addresses that were asked and did not answer, each once, in the
 * order in which they were asked.
 */
const GPtrArray *ft_ctl_transport_unanswered (const FtCtlTransport *transport);
