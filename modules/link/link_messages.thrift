namespace cpp teasellock.wire

/// One frame between two VMs. The message kinds are in link_hub.h.
struct envelope {
  1: i16 kind;
  2: i64 request;
  3: binary body;
  4: optional string trace_parent;
}

/// The body of the first frame in each direction of a connection.
struct hello {
  1: string vm;
  2: i64 incarnation;
  3: i32 protocol;
  4: string availability_zone;
  5: string region;
  /// The sender of the hello reads compressed frames; see link_frames.h.
  6: bool accepts_compression;
}
