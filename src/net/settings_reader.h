/* The operators' settings in force. Every controller reads them periodically from their row in the
 * key-value store; their version is the revision of that row. admin_settings.c shows and changes them;
 * the leader passes them to its scheduler. */
#pragma once
#include "config.h"
#include "core/tuning.h"
#include "net/store_client.h"

typedef struct _FtSettingsReader FtSettingsReader;

/**
 * FtSettingsChanged:
 * @tuning: the settings that are in force from now on
 * @data: the pointer that was passed with the callback
 */
typedef void (*FtSettingsChanged) (const FtTuning *tuning, gpointer data);

/**
 * ft_settings_reader_new:
 * @config: borrowed for the life of the reader
 * @store: borrowed; none of its answers may arrive after the reader is freed
 * @changed: called whenever other settings come into force
 * @data: data of @changed
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
 * Makes the next tick read the row. Called when the row may have changed.
 */
void ft_settings_reader_read_soon (FtSettingsReader *reader);

/**
 * ft_settings_reader_apply:
 * @tuning: valid settings, copied
 * @version: revision of the row that contains them; 0 if there is no row
 *
 * Puts the settings in force, unless @version is in force already and is not 0.
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
 * Returns: the revision of the row that contains the settings in force; 0 if the defaults are in force
 */
guint64 ft_settings_reader_version (const FtSettingsReader *reader);
