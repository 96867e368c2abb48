//! The contents of a file: writes, numbered from 1, of one or more records each.

use std::path::Path;

use snafu::ensure;

use crate::error::{CorruptSnafu, RecordTooLongSnafu, StorageError};
use crate::frame;

/// The number of the first write of a file.
pub(crate) const FIRST_WRITE_NUMBER: u64 = 1;

/// The decoded contents of a file.
pub(crate) struct Contents {
    pub(crate) records: Vec<Vec<u8>>,
    /// The length of the complete writes, in bytes.
    pub(crate) complete_len: usize,
    pub(crate) next_write_number: u64,
}

/// Encodes the records of one write.
pub(crate) fn encode_write(write_number: u64, records: &[&[u8]]) -> Result<Vec<u8>, StorageError> {
    let total: usize = records.iter().map(|record| frame::HEADER_BYTES + record.len()).sum();
    let mut buffer = Vec::with_capacity(total);
    for (index, record) in records.iter().enumerate() {
        ensure!(record.len() <= frame::MAX_RECORD_BYTES, RecordTooLongSnafu { length: record.len() });
        let remaining = (records.len() - 1 - index) as u32;
        frame::encode_into(&mut buffer, write_number, remaining, record);
    }
    Ok(buffer)
}

/// Decodes complete writes up to the first that isn't.
///
/// An incomplete or corrupt record belongs to a torn last write unless a later write follows it: a write begins only
/// after the one before it was synced.
pub(crate) fn read_contents(path: &Path, bytes: &[u8]) -> Result<Contents, StorageError> {
    let mut contents =
        Contents { records: Vec::new(), complete_len: 0, next_write_number: FIRST_WRITE_NUMBER };
    let mut complete_records = 0;
    let mut offset = 0;
    while let Some(frame) = frame::decode(&bytes[offset..]) {
        if frame.write_number != contents.next_write_number {
            break;
        }
        offset += frame.encoded_len();
        contents.records.push(frame.payload.to_vec());
        if frame.remaining == 0 {
            complete_records = contents.records.len();
            contents.complete_len = offset;
            contents.next_write_number = frame.write_number + 1;
        }
    }
    let torn_write = contents.next_write_number;
    let is_corrupt = offset < bytes.len() && contains_later_write(&bytes[offset..], torn_write);
    ensure!(!is_corrupt, CorruptSnafu { path, offset: offset as u64 });
    contents.records.truncate(complete_records);
    Ok(contents)
}

/// Whether an intact record of a write after the given one begins at any offset.
fn contains_later_write(bytes: &[u8], write_number: u64) -> bool {
    let is_later = |frame: frame::Frame<'_>| frame.write_number > write_number;
    (0..bytes.len()).any(|offset| frame::decode(&bytes[offset..]).is_some_and(is_later))
}
