/* The administration API, on the mesh listener only. */
#include "net/node.h"

void
ft_admin_handle (FtNode *node, FtHttpRequest *request)
{
  (void) node;
  ft_http_respond (request, 404, NULL);
}
