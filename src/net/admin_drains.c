/* Drains of machines. Each drained machine has a row in the key-value store; the transactions that write and
 * delete these rows are conditional on the leader's fence. */
#include "core/lease.h"
#include "net/admin_endpoints.h"
#include "net/leader.h"
#include "net/store_client.h"
#include "wire/store.h"

/* A drain or undrain whose commit is in flight. */
typedef struct {
  FtNode *node;
  FtHttpRequest *request;
  char *machine;
  gboolean drain; /* FALSE: undrain */
} DrainChange;

static void
drain_change_free (DrainChange *change)
{
  g_free (change->machine);
  g_free (change);
}

static void
on_committed (FtStoreResult result, const json_t *body, gpointer data)
{
  DrainChange *change = data;
  (void) body;
  if (result != FT_STORE_OK) {
    ft_admin_refuse (change->request, FT_HTTP_UNAVAILABLE, "the state service did not confirm the change: try again");
  } else {
    FtScheduler *scheduler = ft_leader_scheduler (change->node->leader);
    if (scheduler != NULL)
      ft_scheduler_drain (scheduler, change->machine, change->drain);
    ft_http_respond (change->request, FT_HTTP_OK,
                     json_pack ("{s:s, s:b}", "machine", change->machine, "drained", change->drain));
  }
  drain_change_free (change);
}

static void
commit (FtNode *node, FtHttpRequest *request, const char *machine, gboolean drain)
{
  DrainChange *change = g_new0 (DrainChange, 1);
  change->node = node;
  change->request = request;
  change->machine = g_strdup (machine);
  change->drain = drain;
  g_autofree char *key = ft_key_drained (machine);
  json_auto_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, ft_lease_fence_revision (node->lease));
  if (drain)
    ft_txn_put (txn, key, json_object ());
  else
    ft_txn_delete (txn, key);
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_COMMIT, on_committed, change);
}

void
ft_admin_drain (FtNode *node, FtHttpRequest *request, const char *machine)
{
  if (ft_scheduler_has_machine (ft_leader_scheduler (node->leader), machine))
    commit (node, request, machine, TRUE);
  else
    ft_admin_refuse (request, FT_HTTP_NOT_FOUND, "there is no machine %s", machine);
}

void
ft_admin_undrain (FtNode *node, FtHttpRequest *request, const char *machine)
{
  commit (node, request, machine, FALSE);
}
