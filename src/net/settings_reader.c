#include "net/settings_reader.h"

#include "core/constants.h"
#include "core/duration.h"
#include "log.h"
#include "wire/store.h"

struct _FtSettingsReader {
  const FtConfig *config; /* borrowed */
  FtStoreClient *store;   /* borrowed */
  FtSettingsChanged changed;
  gpointer data;
  FtTuning tuning;     /* the settings in force */
  guint64 version;     /* revision of the row that contains them; 0: the defaults are in force */
  gint64 next_read_at; /* when the row is read next; monotonic, microseconds */
  gboolean in_flight;  /* whether a read of the row awaits its answer */
};

FtSettingsReader *
ft_settings_reader_new (const FtConfig *config, FtStoreClient *store, FtSettingsChanged changed, gpointer data)
{
  FtSettingsReader *reader = g_new0 (FtSettingsReader, 1);
  reader->config = config;
  reader->store = store;
  reader->changed = changed;
  reader->data = data;
  ft_tuning_defaults (&reader->tuning);
  return reader;
}

void
ft_settings_reader_free (FtSettingsReader *reader)
{
  g_free (reader);
}

/* The log level that operators have set, else that of the environment, else "error". */
static const char *
log_level (const FtTuning *tuning)
{
  const char *const choices[] = FT_LOG_CHOICES;
  guint level = (guint) tuning->log_level;
  const char *environment = g_getenv ("LOG_LEVEL");
  if (level > 0)
    return choices[level];
  return environment != NULL ? environment : "error";
}

void
ft_settings_reader_apply (FtSettingsReader *reader, const FtTuning *tuning, guint64 version)
{
  if (version == reader->version && version != 0)
    return;
  reader->tuning = *tuning;
  reader->version = version;
  reader->changed (tuning, reader->data);
  ft_log_set_level (log_level (tuning));
  g_message ("node %s: operators' settings of version %" G_GUINT64_FORMAT " are in force", reader->config->member,
             version);
}

static void
on_read (FtStoreResult result, const json_t *body, gpointer data)
{
  FtSettingsReader *reader = data;
  FtTuning tuning;
  FtRow row;
  reader->in_flight = FALSE;
  if (result != FT_STORE_OK || !ft_store_row (body, &row))
    return;
  ft_row_settings_parse (row.value, &tuning);
  g_autofree char *why = ft_tuning_check (&tuning, &reader->config->core);
  if (why != NULL)
    g_warning ("node %s: stored settings not used: %s", reader->config->member, why);
  else
    ft_settings_reader_apply (reader, &tuning, row.revision);
}

void
ft_settings_reader_tick (FtSettingsReader *reader, gint64 now)
{
  if (now < reader->next_read_at || reader->in_flight)
    return;
  reader->next_read_at = now + ft_seconds (FT_SETTINGS_EVERY_S);
  reader->in_flight = TRUE;
  ft_store_client_get (reader->store, FT_KEY_SETTINGS, FT_STORE_PRIORITY_READ, on_read, reader);
}

void
ft_settings_reader_read_soon (FtSettingsReader *reader)
{
  reader->next_read_at = 0;
}

const FtTuning *
ft_settings_reader_tuning (const FtSettingsReader *reader)
{
  return &reader->tuning;
}

guint64
ft_settings_reader_version (const FtSettingsReader *reader)
{
  return reader->version;
}
