#include "wire/cloud.h"

#include <string.h>

#include "core/constants.h"
#include "wire/fields.h"

#define AMOUNT_MOST 1e9

static FtMachineType *
read_type (const json_t *item)
{
  FtMachineType *type = g_new0 (FtMachineType, 1);
  if (!ft_field_text (item, "name", FT_TEXT_MAX, &type->name)
      || !ft_field_amount (item, "cores", 0, AMOUNT_MOST, &type->cpus)
      || !ft_field_amount (item, "mem_gb", 0, AMOUNT_MOST, &type->memory_gb)
      || !ft_field_amount (item, "price", 0, AMOUNT_MOST, &type->price)
      || !ft_field_amount (item, "ready_s", 0, AMOUNT_MOST, &type->boot_s)
      || !ft_field_texts (item, "yards", FT_TEXT_MAX, &type->zones)) {
    ft_machine_type_free (type);
    return NULL;
  }
  type->spot_price = type->price;
  type->fetch_gb_per_s = 1;
  ft_field_amount (item, "cards", 0, AMOUNT_MOST, &type->gpus);
  ft_field_amount (item, "local_gb", 0, AMOUNT_MOST, &type->cache_gb);
  ft_field_amount (item, "fetch_gb_per_s", 0, AMOUNT_MOST, &type->fetch_gb_per_s);
  ft_field_amount (item, "market_price", 0, AMOUNT_MOST, &type->spot_price);
  return type;
}

FtCatalog *
ft_cloud_catalog (const json_t *body)
{
  const json_t *list = json_object_get (body, "builds");
  if (!json_is_array (list) || json_array_size (list) == 0)
    return NULL;
  g_autoptr (FtCatalog) catalog = ft_catalog_new ();
  for (size_t i = 0; i < json_array_size (list); i++) {
    FtMachineType *type = read_type (json_array_get (list, i));
    if (type == NULL)
      return NULL;
    g_ptr_array_add (catalog->types, type);
  }
  return g_steal_pointer (&catalog);
}

json_t *
ft_cloud_scale_out_body (const FtCloudCall *call)
{
  return json_pack ("{s:s, s:s, s:s, s:b, s:i}", "booking", call->booking, "build", call->type, "yard", call->zone,
                    "loaners", call->spot, "how_many", (int) call->count);
}

json_t *
ft_cloud_scale_in_body (const FtCloudCall *call)
{
  json_t *names = json_array ();
  for (guint i = 0; i < call->names->len; i++)
    json_array_append_new (names, json_string (g_ptr_array_index (call->names, i)));
  return json_pack ("{s:o}", "hearths", names);
}

gboolean
ft_cloud_launched (const json_t *body, FtCloudCall *call)
{
  g_auto (GStrv) names = NULL;
  if (!ft_field_texts (body, "hearths", FT_TEXT_MAX, &names))
    return FALSE;
  for (guint i = 0; names[i] != NULL; i++)
    g_ptr_array_add (call->names, g_strdup (names[i]));
  return TRUE;
}

gboolean
ft_cloud_list (const json_t *body, GArray *list, gboolean *more)
{
  const json_t *items = json_object_get (body, "hearths");
  if (!json_is_array (items))
    return FALSE;
  for (size_t i = 0; i < json_array_size (items); i++) {
    const json_t *item = json_array_get (items, i);
    FtListedMachine m = { 0 };
    g_array_append_val (list, m);
    FtListedMachine *listed = &g_array_index (list, FtListedMachine, list->len - 1);
    const char *state = json_string_value (json_object_get (item, "standing"));
    listed->state = g_strcmp0 (state, "failed") == 0     ? FT_LISTED_FAILED
                    : g_strcmp0 (state, "starting") == 0 ? FT_LISTED_BOOTING
                                                         : FT_LISTED_RUNNING;
    ft_field_text_or_null (item, "address", FT_TEXT_MAX, &listed->addr);
    ft_field_amount (item, "held_s", 0, AMOUNT_MOST, &listed->age_s);
    if (!ft_field_text (item, "ref", FT_TEXT_MAX, &listed->name)
        || !ft_field_text (item, "build", FT_TEXT_MAX, &listed->type)
        || !ft_field_text (item, "yard", FT_TEXT_MAX, &listed->zone) || !ft_field_bool (item, "loaners", &listed->spot))
      return FALSE;
  }
  *more = json_is_true (json_object_get (body, "more"));
  return TRUE;
}
