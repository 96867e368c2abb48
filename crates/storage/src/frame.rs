//! The encoding of one record in the file.
//!
//! All integers are little-endian. The checksum is a CRC-32 of all that follows it.
//!
//! | Offset | Bytes | Field |
//! |-------:|------:|-------|
//! | 0 | 4 | magic |
//! | 4 | 4 | checksum |
//! | 8 | 8 | number of the write |
//! | 16 | 4 | records of the same write that follow |
//! | 20 | 4 | length of the payload |
//! | 24 | length | payload |

/// The length of the header that precedes each payload, in bytes.
pub(crate) const HEADER_BYTES: usize = 24;
/// The longest payload of a record, in bytes.
pub(crate) const MAX_RECORD_BYTES: usize = 32 << 20;

const MAGIC: u32 = 0x6c0c_4b1d;

const MAGIC_OFFSET: usize = 0;
const CHECKSUM_OFFSET: usize = 4;
const WRITE_NUMBER_OFFSET: usize = 8;
const REMAINING_OFFSET: usize = 16;
const LENGTH_OFFSET: usize = 20;

/// A decoded record.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    /// The number of the write, counted up from 1 in each file. All records of one write have the same number.
    pub write_number: u64,
    /// The number of records of the same write that follow this one.
    pub remaining: u32,
    /// The payload.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// The encoded length in bytes, header included.
    pub fn encoded_len(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Appends one encoded record to a buffer. The payload must not be longer than [`MAX_RECORD_BYTES`].
pub(crate) fn encode_into(buffer: &mut Vec<u8>, write_number: u64, remaining: u32, payload: &[u8]) {
    buffer.extend_from_slice(&MAGIC.to_le_bytes());
    buffer.extend_from_slice(&checksum(write_number, remaining, payload).to_le_bytes());
    buffer.extend_from_slice(&write_number.to_le_bytes());
    buffer.extend_from_slice(&remaining.to_le_bytes());
    buffer.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    buffer.extend_from_slice(payload);
}

/// Decodes the record at the start of a slice. Returns `None` if the record there is incomplete or corrupt.
pub(crate) fn decode(slice: &[u8]) -> Option<Frame<'_>> {
    if read_u32(slice, MAGIC_OFFSET)? != MAGIC {
        return None;
    }
    let expected_checksum = read_u32(slice, CHECKSUM_OFFSET)?;
    let write_number = read_u64(slice, WRITE_NUMBER_OFFSET)?;
    let remaining = read_u32(slice, REMAINING_OFFSET)?;
    let length = read_u32(slice, LENGTH_OFFSET)? as usize;
    let payload = slice.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    let is_intact = checksum(write_number, remaining, payload) == expected_checksum;
    is_intact.then_some(Frame { write_number, remaining, payload })
}

fn read_u32(slice: &[u8], offset: usize) -> Option<u32> {
    slice.get(offset..offset + 4)?.try_into().ok().map(u32::from_le_bytes)
}

fn read_u64(slice: &[u8], offset: usize) -> Option<u64> {
    slice.get(offset..offset + 8)?.try_into().ok().map(u64::from_le_bytes)
}

fn checksum(write_number: u64, remaining: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&write_number.to_le_bytes());
    hasher.update(&remaining.to_le_bytes());
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
