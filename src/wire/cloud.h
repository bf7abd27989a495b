/* The cloud's messages. Decoders return NULL for anything not valid. */
#pragma once
#include <jansson.h>

#include "core/scheduler.h"

FtCatalog *ft_cloud_catalog (const json_t *body);
json_t *ft_cloud_scale_out_body (const FtCloudCall *call);
json_t *ft_cloud_scale_in_body (const FtCloudCall *call);
/* Fills call->names with the launched machines. */
gboolean ft_cloud_launched (const json_t *body, FtCloudCall *call);
/* Appends to `list`; `last` gets the last name, borrowed from the list. */
gboolean ft_cloud_list (const json_t *body, GArray *list, gboolean *more);
