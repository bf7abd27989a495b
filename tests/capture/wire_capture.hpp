// What the wire layer writes and reads for the fixed inputs of corpus/wire_inputs.json, as JSON.
// Compiled against two versions: by test_wire_capture.cpp against this one, and by capture.sh
// against the commit whose rows and messages are kept in corpus/wire_8fb6b9e.json; then WIRE_NAMES
// names a header that includes that version's headers and maps today's names to its own.
#pragma once
#include <functional>
#include <string>

#ifdef WIRE_NAMES
#include WIRE_NAMES
#else
#define HEARTBEAT_INCARNATION incarnation
extern "C" {
#include "wire/cbor.h"
#include "wire/cloud.h"
#include "wire/messages.h"
#include "wire/peer_heartbeat.h"
#include "wire/store.h"
}
#endif

namespace wire_capture {

constexpr gint64 kWallMs = 1796206117529;
constexpr guint64 kRevision = 4611686018427387907;

using Visit = std::function<void (const std::string &, json_t *)>;

inline void
each (const json_t *inputs, const char *name, const Visit &visit)
{
  json_t *list = json_object_get (inputs, name);
  for (size_t i = 0; i < json_array_size (list); i++)
    visit (std::string (name) + "/" + std::to_string (i), json_array_get (list, i));
}

inline gint64
number (const json_t *map, const char *name)
{
  return json_integer_value (json_object_get (map, name));
}

inline const char *
text (const json_t *map, const char *name)
{
  return json_string_value (json_object_get (map, name));
}

inline std::string
hex_of (GBytes *bytes)
{
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
  std::string hex;
  for (gsize i = 0; i < size; i++) {
    g_autofree char *pair = g_strdup_printf ("%02x", data[i]);
    hex += pair;
  }
  return hex;
}

inline GBytes *
bytes_of (const char *hex)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  for (; hex[0] != '\0' && hex[1] != '\0'; hex += 2) {
    auto byte = (guint8) (g_ascii_xdigit_value (hex[0]) * 16 + g_ascii_xdigit_value (hex[1]));
    g_byte_array_append (bytes, &byte, 1);
  }
  return g_byte_array_free_to_bytes (g_steal_pointer (&bytes));
}

// Adds a message as text, in the order of its fields, and as the bytes that go over the network.
inline void
add (json_t *out, const std::string &name, json_t *message)
{
  g_autoptr (GBytes) bytes = ft_cbor_encode (message);
  char *dump = json_dumps (message, JSON_COMPACT | JSON_ENCODE_ANY);
  json_object_set_new (out, name.c_str (), json_pack ("{s:s, s:s}", "json", dump, "cbor", hex_of (bytes).c_str ()));
  free (dump);
  json_decref (message);
}

// The same of a text that the caller hands over.
inline void
add_text (json_t *out, const std::string &name, char *value)
{
  add (out, name, json_string (value));
  g_free (value);
}

// ---- what is written ----

inline FtJobSpec *
job_of (const json_t *input)
{
  FtJobSpec *spec = ft_message_job (json_object_get (input, "body"));
  if (spec == nullptr)
    return nullptr;
  spec->submitted_wall_ms = number (input, "submitted_ms");
  spec->dispatch_watermark = (guint) number (input, "watermark");
  return spec;
}

inline void
write_job (json_t *out, const std::string &name, const json_t *input)
{
  g_autoptr (FtJobSpec) spec = job_of (input);
  if (spec == nullptr)
    return;
  add (out, name + "/open", ft_row_open (spec));
  add (out, name + "/open_size", json_integer ((json_int_t) ft_row_open_size (spec)));
  add (out, name + "/state_open", ft_row_job_open (spec));
  add (out, name + "/state_done", ft_row_job_ended (FT_JOB_END_DONE, spec->tasks, kWallMs));
  add (out, name + "/state_cancelled", ft_row_job_ended (FT_JOB_END_CANCELLED, spec->tasks, kWallMs));
  add_text (out, name + "/key", ft_key_job (spec->ref));
  add_text (out, name + "/key_open", ft_key_open (spec->ref));
  add_text (out, name + "/key_cancellation", ft_key_cancellation (spec->ref));
  for (const char *state : { "queued", "running", "done", "cancelled" }) {
    add (out, name + "/answer_" + state, ft_message_job_state (spec->ref, state, 2, 3, TRUE));
    add (out, name + "/answer_without_counts_" + state, ft_message_job_state (spec->ref, state, 2, 3, FALSE));
  }
}

inline void
write_lease_rows (json_t *out)
{
  add (out, "lease/fence", ft_row_fence (41, "hearth-0", 4002997772315471529));
  add (out, "lease/renewal", ft_row_renewal (41, 9000000, FALSE));
  add (out, "lease/release", ft_row_renewal (41, 9000999, TRUE));
  add (out, "lease/journal", ft_row_journal (41, 4));
  add (out, "cancellation", ft_row_cancellation (kWallMs));
  add_text (out, "drained_key", ft_key_drained ("n-000002"));
}

inline GArray *
two_machines ()
{
  GArray *machines = ft_listed_new ();
  FtListedMachine first = {
    g_strdup ("n-000001"), g_strdup ("127.0.0.1:41347"), g_strdup ("std"), g_strdup ("a"), FALSE, FT_LISTED_RUNNING, 0
  };
  FtListedMachine second = {
    g_strdup ("n-000002"), g_strdup ("127.0.0.1:42887"), g_strdup ("g8"), g_strdup ("b"), TRUE, FT_LISTED_RUNNING, 0
  };
  g_array_append_val (machines, first);
  g_array_append_val (machines, second);
  return machines;
}

// One transaction with a write of each kind, conditional on two rows as a leader's batch is.
inline void
write_batch (json_t *out, const json_t *inputs)
{
  static const FtWriteKind kinds[]
      = { FT_WRITE_REGISTRY_ROW, FT_WRITE_REGISTRY_ROW_DELETE, FT_WRITE_DRAIN_DELETE, FT_WRITE_WATERMARK,
          FT_WRITE_CHUNK,        FT_WRITE_CHUNK_DELETE,        FT_WRITE_JOB_DONE,     FT_WRITE_JOB_STOPPED,
          FT_WRITE_JOB_CANCELLED };
  g_autoptr (FtJobSpec) spec = job_of (json_array_get (json_object_get (inputs, "jobs"), 1));
  json_t *batch = ft_txn_new ();
  ft_txn_if (batch, FT_KEY_FENCE, 7);
  ft_txn_if (batch, FT_KEY_JOURNAL, kRevision);
  ft_txn_put (batch, FT_KEY_JOURNAL, ft_row_journal (41, 5));
  for (FtWriteKind kind : kinds) {
    FtWrite write{};
    write.kind = kind;
    write.name = (char *) (kind <= FT_WRITE_REGISTRY_ROW_DELETE ? "1-0"
                           : kind == FT_WRITE_DRAIN_DELETE      ? "n-000002"
                                                                : spec->ref);
    write.machines = kind == FT_WRITE_REGISTRY_ROW ? two_machines () : nullptr;
    write.chunk = 3;
    write.tasks = spec->tasks;
    write.watermark = 5;
    write.spec = spec;
    write.revision = kRevision;
    write.bits = (char *) "AwA=";
    ft_txn_add_write (batch, &write, kWallMs);
    g_clear_pointer (&write.machines, g_array_unref);
  }
  ft_txn_delete (batch, FT_KEY_SETTINGS);
  add (out, "batch", batch);
}

inline void
write_commands (json_t *out)
{
  g_autoptr (GArray) commands = ft_commands_new ();
  FtCommand start = { FT_COMMAND_START, g_strdup ("req-000412"), 3, 2, 0 };
  FtCommand stop = { FT_COMMAND_STOP, g_strdup ("req-000412"), 4, kRevision, 2.5 };
  FtCommand forget = { FT_COMMAND_FORGET, g_strdup ("req-000398"), 0, 1, 0 };
  g_array_append_val (commands, start);
  g_array_append_val (commands, stop);
  g_array_append_val (commands, forget);
  add (out, "worker/answer", ft_message_answer (41, commands));
  add (out, "worker/answer_empty", ft_message_answer (41, nullptr));
  add (out, "worker/commands", ft_message_commands (41, 6, commands));
  add (out, "worker/probe", ft_message_commands (41, 6, nullptr));
  add (out, "worker/redirect", ft_message_redirect ("10.0.0.1:8080"));
  add (out, "worker/redirect_unknown", ft_message_redirect (nullptr));
}

inline void
write_cloud_calls (json_t *out)
{
  g_autoptr (FtCloudCall) call = g_new0 (FtCloudCall, 1);
  call->op = FT_CLOUD_SCALE_OUT;
  call->booking = g_strdup ("41-7");
  call->type = g_strdup ("g8");
  call->zone = g_strdup ("a");
  call->spot = TRUE;
  call->count = 5;
  call->names = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (call->names, g_strdup ("n-000001"));
  g_ptr_array_add (call->names, g_strdup ("n-000002"));
  add (out, "cloud/scale_out", ft_cloud_scale_out_body (call));
  add (out, "cloud/scale_in", ft_cloud_scale_in_body (call));
}

inline FtPeerHeartbeat *
peer_heartbeat_of (const json_t *input)
{
  FtPeerHeartbeat *heartbeat = ft_peer_heartbeat_new (text (input, "member"));
  heartbeat->supports_dependencies = json_is_true (json_object_get (input, "supports_dependencies"));
  heartbeat->served = json_object_get (input, "served_ms_ago") != nullptr;
  heartbeat->served_ms_ago = (guint64) number (input, "served_ms_ago");
  heartbeat->yields = json_is_true (json_object_get (input, "yields"));
  heartbeat->token = (guint64) number (input, "token");
  json_t *refs = json_object_get (input, "cancellations"), *jobs = json_object_get (input, "jobs");
  for (size_t i = 0; i < json_array_size (refs); i++)
    g_ptr_array_add (heartbeat->cancellations, g_strdup (json_string_value (json_array_get (refs, i))));
  for (size_t i = 0; i < json_array_size (jobs); i++) {
    json_t *job = json_array_get (jobs, i);
    ft_peer_heartbeat_add_job (heartbeat, text (job, "ref"), (guint) number (job, "done"),
                               (guint) number (job, "running"));
  }
  return heartbeat;
}

inline void
write_settings (json_t *out, const std::string &name, const json_t *row)
{
  FtTuning tuning;
  guint count;
  const FtTuningInfo *table = ft_tuning_table (&count);
  ft_row_settings_parse (row, &tuning);
  for (guint i = 0; i < count; i++)
    add (out, name + "/" + table[i].name, ft_setting_value (&tuning, &table[i]));
}

// A worker's heartbeat is not written by a controller: its bytes are kept to be read.
inline json_t *
written (const json_t *inputs)
{
  json_t *out = json_object ();
  each (inputs, "jobs", [&] (const std::string &name, json_t *item) { write_job (out, name, item); });
  write_lease_rows (out);
  write_batch (out, inputs);
  write_commands (out);
  write_cloud_calls (out);
  each (inputs, "peer_heartbeats", [&] (const std::string &name, json_t *item) {
    g_autoptr (FtPeerHeartbeat) heartbeat = peer_heartbeat_of (item);
    add (out, name, ft_peer_heartbeat_body (heartbeat));
  });
  each (inputs, "settings", [&] (const std::string &name, json_t *item) { write_settings (out, name, item); });
  each (inputs, "worker_heartbeats",
        [&] (const std::string &name, json_t *item) { add (out, name, json_incref (item)); });
  return out;
}

// ---- what is read ----

inline json_t *
texts_of (GStrv texts)
{
  if (texts == nullptr)
    return json_null ();
  json_t *list = json_array ();
  for (guint i = 0; texts[i] != nullptr; i++)
    json_array_append_new (list, json_string (texts[i]));
  return list;
}

inline json_t *
describe (const FtJobSpec *spec)
{
  if (spec == nullptr)
    return json_null ();
  return json_pack ("{s:s, s:s, s:s, s:i, s:i, s:i, s:f, s:f, s:f, s:s, s:f, s:o, s:s?, s:b, s:b, s:b, s:f, s:f, s:f, "
                    "s:f, s:I, s:o, s:i}",
                    "ref", spec->ref, "class", spec->job_class, "team", spec->team, "kind", (int) spec->kind,
                    "priority", (int) spec->priority, "tasks", (int) spec->tasks, "cpus", spec->cpus, "gpus",
                    spec->gpus, "memory", spec->memory_gb, "image", spec->image, "image_gb", spec->image_gb, "types",
                    texts_of (spec->types), "zone", spec->zone, "one_zone", spec->one_zone, "spread", spec->spread,
                    "spot", spec->spot, "estimate", spec->estimate_s, "checkpoint", spec->checkpoint_s, "save",
                    spec->save_s, "deadline", spec->deadline_s, "submitted", (json_int_t) spec->submitted_wall_ms,
                    "dependencies", texts_of (spec->dependencies), "watermark", (int) spec->dispatch_watermark);
}

inline json_t *
describe (const FtWorkerHeartbeat *heartbeat)
{
  if (heartbeat == nullptr)
    return json_null ();
  json_t *tasks = json_array ();
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const FtTaskStatus *task = &g_array_index (heartbeat->tasks, FtTaskStatus, i);
    json_array_append_new (tasks, json_pack ("[s, i, I, i, i]", task->job, (int) task->index,
                                             (json_int_t) task->attempt, (int) task->state, (int) task->exit_reason));
  }
  return json_pack ("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:f, s:o}", "machine", heartbeat->machine, "addr",
                    heartbeat->addr, "type", heartbeat->type, "zone", heartbeat->zone, "spot", heartbeat->spot,
                    "incarnation", (json_int_t) heartbeat->HEARTBEAT_INCARNATION, "sequence",
                    (json_int_t) heartbeat->sequence, "token", (json_int_t) heartbeat->token, "notice",
                    heartbeat->notice_s, "tasks", tasks);
}

inline json_t *
describe (const FtPeerHeartbeat *heartbeat)
{
  if (heartbeat == nullptr)
    return json_null ();
  json_t *jobs = json_array (), *cancellations = json_array ();
  for (guint i = 0; i < heartbeat->jobs->len; i++) {
    const FtPeerHeartbeatJob *job = &g_array_index (heartbeat->jobs, FtPeerHeartbeatJob, i);
    json_array_append_new (jobs, json_pack ("[s, i, i]", job->ref, (int) job->done, (int) job->running));
  }
  for (guint i = 0; i < heartbeat->cancellations->len; i++)
    json_array_append_new (cancellations, json_string ((char *) g_ptr_array_index (heartbeat->cancellations, i)));
  return json_pack ("{s:s, s:b, s:b, s:I, s:b, s:I, s:o, s:o}", "member", heartbeat->member, "dependencies",
                    heartbeat->supports_dependencies, "served", heartbeat->served, "served_ms_ago",
                    (json_int_t) heartbeat->served_ms_ago, "yields", heartbeat->yields, "token",
                    (json_int_t) heartbeat->token, "jobs", jobs, "cancellations", cancellations);
}

inline json_t *
describe (const GArray *rows)
{
  if (rows == nullptr)
    return json_null ();
  json_t *list = json_array ();
  for (guint i = 0; i < rows->len; i++) {
    const FtRow *row = &g_array_index (rows, FtRow, i);
    json_array_append_new (list, json_pack ("[s, O?, I]", row->key, row->value, (json_int_t) row->revision));
  }
  return list;
}

inline json_t *
describe_lease (const GArray *rows)
{
  FtLeaseRows seen{};
  if (rows == nullptr || !ft_row_lease_parse (rows, &seen)) {
    ft_lease_rows_clear (&seen);
    return json_null ();
  }
  json_t *lease
      = json_pack ("{s:I, s:s?, s:I, s:I, s:b}", "token", (json_int_t) seen.token, "holder", seen.holder, "incarnation",
                   (json_int_t) seen.incarnation, "lease_us", (json_int_t) seen.lease_us, "released", seen.released);
  ft_lease_rows_clear (&seen);
  return lease;
}

inline json_t *
describe_job_row (const json_t *value)
{
  FtJobRow row;
  if (!ft_row_job_parse (value, &row))
    return json_null ();
  return json_pack ("{s:b, s:b, s:i, s:i, s:I}", "open", row.open, "dependencies", row.has_dependencies, "end",
                    (int) row.end, "tasks", (int) row.tasks, "ended", (json_int_t) row.ended_wall_ms);
}

inline json_t *
describe_key (const char *key)
{
  gboolean cancelled = FALSE;
  guint chunk = 0;
  g_autofree char *ref = nullptr, *open = ft_key_open_ref (key, &cancelled);
  gboolean is_chunk = ft_key_chunk_parse (key, &ref, &chunk);
  return json_pack ("{s:s?, s:b, s:s?, s:i, s:s?}", "open", open, "cancelled", cancelled, "chunk_of",
                    is_chunk ? ref : nullptr, "chunk", (int) chunk, "drained", ft_key_drained_name (key));
}

inline json_t *
describe_catalog (const json_t *body)
{
  g_autoptr (FtCatalog) catalog = ft_cloud_catalog (body);
  if (catalog == nullptr)
    return json_null ();
  json_t *list = json_array ();
  for (guint i = 0; i < catalog->types->len; i++) {
    auto type = (const FtMachineType *) g_ptr_array_index (catalog->types, i);
    json_array_append_new (list, json_pack ("[s, f, f, f, f, f, f, f, f, o]", type->name, type->cpus, type->gpus,
                                            type->memory_gb, type->cache_gb, type->fetch_gb_per_s, type->price,
                                            type->spot_price, type->boot_s, texts_of (type->zones)));
  }
  return list;
}

inline json_t *
describe_machines (const json_t *body)
{
  gboolean more = FALSE;
  g_autoptr (GArray) machines = ft_listed_new ();
  if (!ft_cloud_list (body, machines, &more))
    return json_null ();
  json_t *list = json_array ();
  for (guint i = 0; i < machines->len; i++) {
    const FtListedMachine *machine = &g_array_index (machines, FtListedMachine, i);
    json_array_append_new (list, json_pack ("[s, s?, s, s, b, i, f]", machine->name, machine->addr, machine->type,
                                            machine->zone, machine->spot, (int) machine->state, machine->age_s));
  }
  return json_pack ("{s:b, s:o}", "more", more, "machines", list);
}

inline json_t *
describe_launched (const json_t *body)
{
  g_autoptr (FtCloudCall) call = g_new0 (FtCloudCall, 1);
  call->names = g_ptr_array_new_with_free_func (g_free);
  json_t *list = json_array ();
  json_t *read = json_boolean (ft_cloud_launched (body, call));
  for (guint i = 0; i < call->names->len; i++)
    json_array_append_new (list, json_string ((char *) g_ptr_array_index (call->names, i)));
  return json_pack ("{s:o, s:o}", "read", read, "names", list);
}

// The message as it came over the network.
inline json_t *
decoded (const json_t *written, const std::string &name)
{
  json_t *message = json_object_get (written, name.c_str ());
  if (message == nullptr)
    return nullptr;
  g_autoptr (GBytes) bytes = bytes_of (text (message, "cbor"));
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
  return ft_cbor_decode (data, size);
}

inline void
read_job (json_t *out, const std::string &name, const json_t *input, const json_t *written)
{
  g_autoptr (FtJobSpec) submitted = job_of (input);
  json_object_set_new (out, (name + "/submitted").c_str (), describe (submitted));
  if (submitted == nullptr)
    return;
  json_t *row = decoded (written, name + "/open");
  g_autoptr (FtJobSpec) spec = ft_row_open_parse (submitted->ref, row);
  json_object_set_new (out, (name + "/open").c_str (), describe (spec));
  json_decref (row);
  for (const char *state : { "/state_open", "/state_done", "/state_cancelled" }) {
    json_t *value = decoded (written, name + state);
    json_object_set_new (out, (name + state).c_str (), describe_job_row (value));
    json_decref (value);
  }
}

// The lease's rows as a list of them would bring them.
inline void
read_lease (json_t *out, const json_t *written, const char *renewal)
{
  json_t *fence = decoded (written, "lease/fence"), *renewed = decoded (written, renewal);
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FtRow));
  FtRow fence_row = { FT_KEY_FENCE, fence, 4 }, renewal_row = { FT_KEY_RENEWAL, renewed, 5 };
  g_array_append_val (rows, fence_row);
  g_array_append_val (rows, renewal_row);
  json_object_set_new (out, renewal, describe_lease (rows));
  json_decref (fence);
  json_decref (renewed);
}

// What a batch writes, read row by row.
inline void
read_batch (json_t *out, const json_t *written)
{
  json_t *batch = decoded (written, "batch"), *list = json_array ();
  json_t *apply = json_object_get (batch, "apply");
  for (size_t i = 0; i < json_array_size (apply); i++) {
    const json_t *change = json_array_get (apply, i);
    const char *key = text (change, "write");
    if (key == nullptr)
      continue;
    FtRow row = { key, json_object_get (change, "data"), 9 };
    g_autofree char *open = nullptr;
    gboolean cancelled;
    open = ft_key_open_ref (key, &cancelled);
    g_autoptr (FtJobSpec) spec = open != nullptr ? ft_row_open_parse (open, row.value) : nullptr;
    json_array_append_new (list, json_pack ("{s:s, s:o, s:o, s:o, s:s?, s:I}", "key", key, "of", describe_key (key),
                                            "spec", describe (spec), "state", describe_job_row (row.value), "bits",
                                            ft_row_chunk_bits (row.value), "revision",
                                            (json_int_t) ft_row_open_revision (&row)));
  }
  json_object_set_new (out, "batch", list);
  json_decref (batch);
}

inline void
read_worker_heartbeat (json_t *out, const std::string &name, const json_t *written)
{
  g_autoptr (GBytes) bytes = bytes_of (text (json_object_get (written, name.c_str ()), "cbor"));
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
  json_t *tree = ft_cbor_decode (data, size);
  g_autoptr (FtWorkerHeartbeat) slow = ft_message_worker_heartbeat (tree),
                                quick = ft_message_worker_heartbeat_read (data, size);
  json_object_set_new (out, (name + "/tree").c_str (), describe (slow));
  json_object_set_new (out, (name + "/stream").c_str (), describe (quick));
  json_decref (tree);
}

inline void
read_answers (json_t *out, const json_t *inputs)
{
  each (inputs, "lists", [&] (const std::string &name, json_t *item) {
    gboolean more = FALSE;
    g_autoptr (GArray) rows = ft_store_rows (item, &more);
    json_t *read = json_pack ("{s:b, s:o, s:o}", "more", more, "rows", describe (rows), "lease", describe_lease (rows));
    json_object_set_new (out, name.c_str (), read);
  });
  each (inputs, "events", [&] (const std::string &name, json_t *item) {
    g_autoptr (GArray) rows = ft_store_events (item);
    json_object_set_new (out, name.c_str (), describe (rows));
  });
  each (inputs, "answers", [&] (const std::string &name, json_t *item) {
    guint64 revision = 0;
    FtRow row = { nullptr, nullptr, 0 };
    gboolean has_revision = ft_store_revision (item, &revision), is_row = ft_store_row (item, &row);
    json_t *read = json_pack ("{s:b, s:I, s:b, s:b}", "has_revision", has_revision, "revision", (json_int_t) revision,
                              "row", is_row, "failed", ft_store_failed (item, FT_KEY_FENCE));
    json_object_set_new (out, name.c_str (), read);
  });
}

inline void
read_cloud (json_t *out, const json_t *inputs)
{
  each (inputs, "catalogs", [&] (const std::string &name, json_t *item) {
    json_object_set_new (out, name.c_str (), describe_catalog (item));
  });
  each (inputs, "machine_lists", [&] (const std::string &name, json_t *item) {
    json_object_set_new (out, name.c_str (), describe_machines (item));
  });
  each (inputs, "launches", [&] (const std::string &name, json_t *item) {
    json_object_set_new (out, name.c_str (), describe_launched (item));
  });
}

// What is read of the inputs, and of what was written for them.
inline json_t *
read (const json_t *inputs, const json_t *written)
{
  json_t *out = json_object ();
  each (inputs, "jobs", [&] (const std::string &name, json_t *item) { read_job (out, name, item, written); });
  read_lease (out, written, "lease/renewal");
  read_lease (out, written, "lease/release");
  json_t *cancellation = decoded (written, "cancellation");
  json_object_set_new (out, "cancellation", json_integer (ft_row_cancellation_time (cancellation)));
  json_decref (cancellation);
  read_batch (out, written);
  each (inputs, "worker_heartbeats",
        [&] (const std::string &name, json_t *) { read_worker_heartbeat (out, name, written); });
  each (inputs, "peer_heartbeats", [&] (const std::string &name, json_t *) {
    json_t *body = decoded (written, name);
    g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_parse (body);
    json_object_set_new (out, name.c_str (), describe (heartbeat));
    json_decref (body);
  });
  each (inputs, "peer_heartbeat_bodies", [&] (const std::string &name, json_t *item) {
    g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_parse (item);
    json_object_set_new (out, name.c_str (), describe (heartbeat));
  });
  each (inputs, "keys", [&] (const std::string &name, json_t *item) {
    json_object_set_new (out, name.c_str (), describe_key (json_string_value (item)));
  });
  read_answers (out, inputs);
  read_cloud (out, inputs);
  return out;
}

} // namespace wire_capture
