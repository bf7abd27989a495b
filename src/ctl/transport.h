/**
 * SECTION:transport
 * @title: Requests of flintctl to the controllers
 *
 * Sends requests of the administration API to the administration addresses of the controllers, one after the other,
 * until one answers. If a follower answers with the address of the leader (HTTP status 421), the request is sent to
 * that address. Requests block: the module runs the main loop until the answer arrives. The time-out for each
 * controller is FT_CTL_TIMEOUT_S seconds. The commands (commands.c) call this module. This module prints nothing.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/** FtCtlTransport: the HTTP client and the addresses of the controllers. */
typedef struct _FtCtlTransport FtCtlTransport;

/**
 * ft_ctl_transport_new:
 * @nodes: (transfer none): addresses of controllers, as HOST:PORT, in the order in which requests are sent to them;
 *   must outlive the transport
 *
 * Returns: (transfer full): a transport; free it with ft_ctl_transport_free ().
 */
FtCtlTransport *ft_ctl_transport_new (char *const *nodes);

/** ft_ctl_transport_free: frees @transport, which may be %NULL, and its HTTP client. */
void ft_ctl_transport_free (FtCtlTransport *transport);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCtlTransport, ft_ctl_transport_free)

/**
 * ft_ctl_transport_request:
 * @transport: the transport
 * @method: GET, POST or PUT
 * @path: the path of the URL, with reserved characters escaped
 * @body: (nullable) (transfer none): the body of the request
 * @error: set on failure to %FT_CTL_ERROR_NO_ANSWER or %FT_CTL_ERROR_REFUSED
 *
 * If a controller does not answer in time, the request is sent to the next one, so several controllers may execute it.
 * The request must therefore be idempotent; all changes of the administration API are.
 *
 * Returns: (transfer full): the JSON object of an answer with HTTP status 200; %NULL with @error set otherwise.
 */
json_t *ft_ctl_transport_request (FtCtlTransport *transport, const char *method, const char *path, const json_t *body,
                                  GError **error);

/**
 * ft_ctl_transport_unanswered:
 * @transport: the transport
 *
 * Returns: (transfer none) (element-type utf8): the addresses of the controllers that did not answer a request, without
 * duplicates, in the order in which requests were sent to them.
 */
const GPtrArray *ft_ctl_transport_unanswered (const FtCtlTransport *transport);
