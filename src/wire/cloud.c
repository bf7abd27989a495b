#include "wire/cloud.h"

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/protocol.h"

/* The cloud's name of the state of a machine that has failed. */
#define STATE_FAILED "failed"
/* The cloud's name of the state of a machine that is booting. All other state names stand for a running machine. */
#define STATE_BOOTING "starting"

/* Rate in GB/s at which a machine fetches images if the catalog does not contain it. */
#define DEFAULT_FETCH_GB_PER_S 1.0

static FtMachineType *
read_type (const json_t *item)
{
  FtMachineType *type = g_new0 (FtMachineType, 1);
  if (!ft_field_text (item, FT_WIRE_TYPE_NAME, FT_TEXT_MAX, &type->name)
      || !ft_field_amount (item, FT_WIRE_CPUS, 0, FT_AMOUNT_MAX, &type->cpus)
      || !ft_field_amount (item, FT_WIRE_MEMORY, 0, FT_AMOUNT_MAX, &type->memory_gb)
      || !ft_field_amount (item, FT_WIRE_PRICE, 0, FT_AMOUNT_MAX, &type->price)
      || !ft_field_amount (item, FT_WIRE_BOOT_TIME, 0, FT_AMOUNT_MAX, &type->boot_s)
      || !ft_field_texts (item, FT_WIRE_ZONES, FT_TEXT_MAX, &type->zones)) {
    ft_machine_type_free (type);
    return NULL;
  }
  type->spot_price = type->price;
  type->fetch_gb_per_s = DEFAULT_FETCH_GB_PER_S;
  ft_field_amount (item, FT_WIRE_GPUS, 0, FT_AMOUNT_MAX, &type->gpus);
  ft_field_amount (item, FT_WIRE_IMAGE_CACHE_SIZE, 0, FT_AMOUNT_MAX, &type->cache_gb);
  ft_field_amount (item, FT_WIRE_FETCH_RATE, 0, FT_AMOUNT_MAX, &type->fetch_gb_per_s);
  ft_field_amount (item, FT_WIRE_SPOT_PRICE, 0, FT_AMOUNT_MAX, &type->spot_price);
  return type;
}

FtCatalog *
ft_cloud_catalog (const json_t *body)
{
  const json_t *list = json_object_get (body, FT_WIRE_MACHINE_TYPES);
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
  return json_pack ("{s:s, s:s, s:s, s:b, s:i}", FT_WIRE_IDEMPOTENCY_KEY, call->idempotency_key, FT_WIRE_MACHINE_TYPE,
                    call->type, FT_WIRE_ZONE, call->zone, FT_WIRE_SPOT, call->spot, FT_WIRE_COUNT, (int) call->count);
}

json_t *
ft_cloud_scale_in_body (const FtCloudCall *call)
{
  json_t *names = json_array ();
  for (guint i = 0; i < call->names->len; i++)
    json_array_append_new (names, json_string (g_ptr_array_index (call->names, i)));
  return json_pack ("{s:o}", FT_WIRE_MACHINES, names);
}

gboolean
ft_cloud_launched (const json_t *body, FtCloudCall *call)
{
  g_auto (GStrv) names = NULL;
  if (!ft_field_texts (body, FT_WIRE_MACHINES, FT_TEXT_MAX, &names))
    return FALSE;
  for (guint i = 0; names[i] != NULL; i++)
    g_ptr_array_add (call->names, g_strdup (names[i]));
  return TRUE;
}

static FtListedState
read_state (const json_t *item)
{
  const char *word = json_string_value (json_object_get (item, FT_WIRE_STATE));
  if (g_strcmp0 (word, STATE_FAILED) == 0)
    return FT_LISTED_FAILED;
  return g_strcmp0 (word, STATE_BOOTING) == 0 ? FT_LISTED_BOOTING : FT_LISTED_RUNNING;
}

static gboolean
read_listed (const json_t *item, FtListedMachine *listed)
{
  listed->state = read_state (item);
  ft_field_text_or_null (item, FT_WIRE_ADDRESS, FT_TEXT_MAX, &listed->addr);
  ft_field_amount (item, FT_WIRE_AGE, 0, FT_AMOUNT_MAX, &listed->age_s);
  return ft_field_text (item, FT_WIRE_LISTED_NAME, FT_TEXT_MAX, &listed->name)
         && ft_field_text (item, FT_WIRE_MACHINE_TYPE, FT_TEXT_MAX, &listed->type)
         && ft_field_text (item, FT_WIRE_ZONE, FT_TEXT_MAX, &listed->zone)
         && ft_field_bool (item, FT_WIRE_SPOT, &listed->spot);
}

gboolean
ft_cloud_list (const json_t *body, GArray *list, gboolean *more)
{
  const json_t *items = json_object_get (body, FT_WIRE_MACHINES);
  if (!json_is_array (items))
    return FALSE;
  for (size_t i = 0; i < json_array_size (items); i++) {
    FtListedMachine blank = { 0 };
    g_array_append_val (list, blank);
    if (!read_listed (json_array_get (items, i), &g_array_index (list, FtListedMachine, list->len - 1)))
      return FALSE;
  }
  *more = json_is_true (json_object_get (body, FT_WIRE_MORE));
  return TRUE;
}
