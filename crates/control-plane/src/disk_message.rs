//! Requests to the disk thread, and their results.

/// A request to the disk thread.
pub enum WriteRequest<R> {
    /// Appends records.
    Append {
        /// The id of this write, repeated in its result.
        write_id: u64,
        /// The records to append.
        records: Vec<R>,
    },
    /// Replaces the whole contents.
    Rewrite {
        /// The new contents.
        records: Vec<R>,
    },
}

/// The result of a write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// The records are durable.
    Synced {
        /// The id of the write.
        write_id: u64,
        /// The size of the file, in bytes.
        bytes: u64,
    },
    /// None of the records was stored.
    Failed {
        /// The id of the write.
        write_id: u64,
        /// The cause, for the log.
        cause: String,
    },
    /// The contents were replaced.
    Rewritten {
        /// The size of the file, in bytes.
        bytes: u64,
    },
    /// The contents could not be replaced; the previous ones stay in use.
    RewriteFailed {
        /// The cause, for the log.
        cause: String,
    },
}
