/**
 * SECTION: cloud
 * @title: Messages of the cloud
 *
 * Decodes the cloud's catalog of machine types, its list of machines and its answers to scale-out
 * requests into types of the core. Encodes the bodies of scale-out and scale-in requests. Used by
 * src/net for its requests to the cloud.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/scheduler.h"

/**
 * ft_cloud_catalog:
 * @body: (nullable): the cloud's answer to a request for the catalog
 *
 * Returns: (transfer full) (nullable): the catalog, or %NULL if it is empty or any of its machine
 * types is malformed.
 */
FtCatalog *ft_cloud_catalog (const json_t *body);

/**
 * ft_cloud_scale_out_body:
 * @call: a scale-out
 *
 * Returns: (transfer full): the body of the scale-out request. The request may be sent again: the
 * cloud launches machines only once for each idempotency key.
 */
json_t *ft_cloud_scale_out_body (const FtCloudCall *call);

/**
 * ft_cloud_scale_in_body:
 * @call: a scale-in
 *
 * Returns: (transfer full): the body of the scale-in request, with the names of the machines.
 */
json_t *ft_cloud_scale_in_body (const FtCloudCall *call);

/**
 * ft_cloud_launched:
 * @body: (nullable): the cloud's answer to a scale-out request
 * @call: the scale-out; the names of the launched machines are added to it
 *
 * Returns: %TRUE on success; %FALSE, with @call unchanged, if the answer is malformed.
 */
gboolean ft_cloud_launched (const json_t *body, FtCloudCall *call);

/**
 * ft_cloud_list:
 * @body: (nullable): a page of the cloud's list of machines
 * @list: (element-type FtListedMachine): the array to which the page's machines are appended; after
 *   a failure it may contain an incomplete machine, and the caller must free it without using it
 * @more: (out): whether there is another page; set only on success
 *
 * Returns: %TRUE on success, %FALSE if the page is malformed.
 */
gboolean ft_cloud_list (const json_t *body, GArray *list, gboolean *more);
