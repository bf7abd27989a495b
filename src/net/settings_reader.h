/* The operators' settings in force, of which every controller reads the row of the key-value store
 * now and then. Their version is the row's revision. Shown and changed by admin_settings.c; used by
 * the leader for its scheduler. */
#pragma once
#include "config.h"
#include "core/tuning.h"
#include "net/store_client.h"

typedef struct _FtSettingsReader FtSettingsReader;

/**
 * FtSettingsChanged:
 * @tuning: the settings that are in force from now on
 * @data: what was passed with the callback
 */
typedef void (*FtSettingsChanged) (const FtTuning *tuning, gpointer data);

/**
 * ft_settings_reader_new:
 * @config: borrowed for life
 * @store: borrowed; no answer of it may come once the reader is freed
 * @changed: called whenever other settings come into force
 * @data: for @changed
 *
 * Returns: (transfer full): a reader with the default settings in force
 */
FtSettingsReader *ft_settings_reader_new (const FtConfig *config, FtStoreClient *store, FtSettingsChanged changed,
                                          gpointer data);

/**
 * ft_settings_reader_free:
 * @reader: (nullable) (transfer full): the reader
 */
void ft_settings_reader_free (FtSettingsReader *reader);

/**
 * ft_settings_reader_tick:
 * @now: monotonic time in microseconds
 *
 * Reads the row every FT_SETTINGS_EVERY_S. Called by the controller's timer.
 */
void ft_settings_reader_tick (FtSettingsReader *reader, gint64 now);

/**
 * ft_settings_reader_read_soon:
 *
 * The row has changed: the next tick reads it.
 */
void ft_settings_reader_read_soon (FtSettingsReader *reader);

/**
 * ft_settings_reader_apply:
 * @tuning: valid settings, copied
 * @version: revision of their row; 0: there is none
 *
 * Puts settings in force, unless that version is.
 */
void ft_settings_reader_apply (FtSettingsReader *reader, const FtTuning *tuning, guint64 version);

/**
 * ft_settings_reader_tuning:
 *
 * Returns: (transfer none): the settings in force
 */
const FtTuning *ft_settings_reader_tuning (const FtSettingsReader *reader);

/**
 * ft_settings_reader_version:
 *
 * Returns: revision of the row of the settings in force; 0: the defaults are
 */
guint64 ft_settings_reader_version (const FtSettingsReader *reader);
