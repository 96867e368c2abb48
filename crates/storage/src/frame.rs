//! One record in the file: magic, number of its write, length, checksum, bytes.

/// Bytes before a record's own.
pub(crate) const HEADER: usize = 24;
/// The longest record.
pub(crate) const LONGEST: usize = 32 << 20;

const MAGIC: u32 = 0x6c0c_4b1d;

/// A record read back.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    /// Counts the writes: all records of one write bear the same number.
    pub write: u64,
    /// How many records of this write come after it.
    pub left: u32,
    /// Its bytes.
    pub bytes: &'a [u8],
}

impl Frame<'_> {
    /// Where the next one begins, from where this one did.
    pub fn length(&self) -> usize {
        HEADER + self.bytes.len()
    }
}

/// Puts one record at the end of a buffer.
pub(crate) fn put(buffer: &mut Vec<u8>, write: u64, left: u32, bytes: &[u8]) {
    let length = bytes.len() as u32;
    buffer.extend_from_slice(&MAGIC.to_le_bytes());
    buffer.extend_from_slice(&checksum(write, left, bytes).to_le_bytes());
    buffer.extend_from_slice(&write.to_le_bytes());
    buffer.extend_from_slice(&left.to_le_bytes());
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(bytes);
}

/// Reads the record that begins a slice; nothing if none does, whole and sound.
pub(crate) fn read(slice: &[u8]) -> Option<Frame<'_>> {
    if word(slice, 0)? != MAGIC {
        return None;
    }
    let sum = word(slice, 4)?;
    let write = u64::from(word(slice, 8)?) | u64::from(word(slice, 12)?) << 32;
    let left = word(slice, 16)?;
    let length = word(slice, 20)? as usize;
    let bytes = slice.get(HEADER..HEADER.checked_add(length)?)?;
    (checksum(write, left, bytes) == sum).then_some(Frame { write, left, bytes })
}

fn word(slice: &[u8], at: usize) -> Option<u32> {
    slice.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes)
}

fn checksum(write: u64, left: u32, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&write.to_le_bytes());
    hasher.update(&left.to_le_bytes());
    hasher.update(&(bytes.len() as u32).to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}
