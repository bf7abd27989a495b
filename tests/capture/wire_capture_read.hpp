// Captures what the wire layer reads from the inputs and from the messages that it has written for them.
#pragma once
#include "wire_capture_inputs.hpp"

namespace wire_capture {

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
                    "spot", spec->spot, "estimate", spec->estimate_s, "checkpoint", spec->checkpoint_interval_s, "save",
                    spec->checkpoint_duration_s, "deadline", spec->deadline_s, "submitted",
                    (json_int_t) spec->submitted_wall_ms, "dependencies", texts_of (spec->dependencies), "watermark",
                    (int) spec->dispatch_watermark);
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

// Decodes a captured message from its CBOR bytes, as if it were received; the caller owns the result. NULL if the
// capture does not have the message.
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

// Reads the lease from its two rows, in the order in which the store's answer to a list request contains them.
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

// Reads each row that a batch writes.
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
                                            (json_int_t) ft_row_open_state_revision (&row)));
  }
  json_object_set_new (out, "batch", list);
  json_decref (batch);
}

// Reads a worker's heartbeat in two ways: from the decoded tree and directly from the bytes.
inline void
read_worker_heartbeat (json_t *out, const std::string &name, const json_t *written)
{
  g_autoptr (GBytes) bytes = bytes_of (text (json_object_get (written, name.c_str ()), "cbor"));
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
  json_t *tree = ft_cbor_decode (data, size);
  g_autoptr (FtWorkerHeartbeat) from_tree = ft_message_worker_heartbeat (tree),
                                from_bytes = ft_message_worker_heartbeat_from_cbor (data, size);
  json_object_set_new (out, (name + "/tree").c_str (), describe (from_tree));
  json_object_set_new (out, (name + "/stream").c_str (), describe (from_bytes));
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

// Makes the capture of everything that is read from the inputs and from `written`; the caller owns it.
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
