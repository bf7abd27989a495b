/**
 * SECTION: cloud
 * @title: Messages of the cloud
 *
 * The cloud's catalog of machine types, its list of machines, and the bodies of scale-out and
 * scale-in requests, to and from types of the core. Used by src/net for its requests to the cloud.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/scheduler.h"

/**
 * ft_cloud_catalog:
 * @body: (nullable): the answer to a request for the catalog
 *
 * Returns: (transfer full) (nullable): the catalog, or %NULL if it is empty or any of its machine
 * types is not valid.
 */
FtCatalog *ft_cloud_catalog (const json_t *body);

/**
 * ft_cloud_scale_out_body:
 * @call: a scale-out
 *
 * Returns: (transfer full): its body. It may be sent again: the cloud launches machines once for
 * each idempotency key.
 */
json_t *ft_cloud_scale_out_body (const FtCloudCall *call);

/**
 * ft_cloud_scale_in_body:
 * @call: a scale-in
 *
 * Returns: (transfer full): its body, with the names of the machines.
 */
json_t *ft_cloud_scale_in_body (const FtCloudCall *call);

/**
 * ft_cloud_launched:
 * @body: (nullable): the answer to a scale-out
 * @call: the scale-out; the names of the machines launched are added to it
 *
 * Returns: %FALSE, with nothing added, if the answer is malformed.
 */
gboolean ft_cloud_launched (const json_t *body, FtCloudCall *call);

/**
 * ft_cloud_list:
 * @body: (nullable): a page of the cloud's list of machines
 * @list: (element-type FtListedMachine): the page's machines are appended; on failure what it
 *   holds is of no use, but is still freed with it
 * @more: (out): whether there is another page; set only on success
 *
 * Returns: %FALSE if the page is malformed.
 */
gboolean ft_cloud_list (const json_t *body, GArray *list, gboolean *more);
