#include "wire/machine_rows.h"

#include <string.h>

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/store_keys.h"

#define FIELD_MACHINES "machines"
#define FIELD_NAME "name"
#define FIELD_ADDR "addr"
#define FIELD_TYPE "type"
#define FIELD_ZONE "zone"
#define FIELD_SPOT "spot"

static json_t *
machine_value (const FtListedMachine *machine)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:b}", FIELD_NAME, machine->name, FIELD_ADDR, machine->addr, FIELD_TYPE,
                    machine->type, FIELD_ZONE, machine->zone, FIELD_SPOT, machine->spot);
}

json_t *
ft_row_machines (const GArray *machines)
{
  json_t *list = json_array ();
  for (guint i = 0; i < machines->len; i++)
    json_array_append_new (list, machine_value (&g_array_index (machines, FtListedMachine, i)));
  return json_pack ("{s:o}", FIELD_MACHINES, list);
}

static gboolean
load_machine (FtScheduler *scheduler, const char *row, const char *name, const json_t *value)
{
  g_autofree char *addr = NULL, *type = NULL, *zone = NULL;
  gboolean spot;
  if (!ft_field_text (value, FIELD_ADDR, FT_TEXT_MAX, &addr) || !ft_field_text (value, FIELD_TYPE, FT_TEXT_MAX, &type)
      || !ft_field_text (value, FIELD_ZONE, FT_TEXT_MAX, &zone) || !ft_field_bool (value, FIELD_SPOT, &spot))
    return FALSE;
  ft_scheduler_load_machine (scheduler, row, name, addr, type, zone, spot);
  return TRUE;
}

gboolean
ft_row_machine_parse (FtScheduler *scheduler, const FtRow *row)
{
  if (!g_str_has_prefix (row->key, FT_PREFIX_REGISTRY))
    return FALSE;
  const char *row_name = row->key + strlen (FT_PREFIX_REGISTRY);
  const json_t *list = json_object_get (row->value, FIELD_MACHINES);
  /* Older versions wrote a row of its own for each machine: the key contains the machine's name, and the value has no
   * list. */
  if (list == NULL)
    return load_machine (scheduler, row_name, row_name, row->value);
  gboolean all = json_is_array (list);
  for (size_t i = 0; i < json_array_size (list); i++) {
    const json_t *item = json_array_get (list, i);
    g_autofree char *name = NULL;
    all &= ft_field_text (item, FIELD_NAME, FT_TEXT_MAX, &name) && load_machine (scheduler, row_name, name, item);
  }
  return all;
}
