//! The compression of configurations on their way to gateways.
//!
//! Quota grants travel on the same connection, behind a configuration that may have megabytes. Most of it repeats names
//! and hosts, so that it shrinks to a tenth.

use std::borrow::Cow;
use std::io::{self, Read, Write};

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;

use crate::error::DecompressionSnafu;
use crate::ProtocolError;
use snafu::ResultExt;

/// The longest document that is accepted after decompression, in bytes.
pub const MAX_DECOMPRESSED_BYTES: usize = 16 << 20;
/// The first byte of a zlib stream with a window of 32 KiB. No JSON text begins with it.
const ZLIB_FIRST_BYTE: u8 = 0x78;

/// Compresses a document.
pub fn compress(document: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::with_capacity(document.len() / 8), Compression::fast());
    let written = encoder.write_all(document);
    // Writing into memory can't fail.
    written.and_then(|()| encoder.finish()).unwrap_or_else(|_| document.to_vec())
}

/// Decompresses a document. One that isn't compressed is returned as it is.
///
/// # Errors
///
/// [`ProtocolError::Decompression`] if the stream is corrupt, incomplete, or longer than the limit.
pub fn decompress(document: &[u8]) -> Result<Cow<'_, [u8]>, ProtocolError> {
    if document.first() != Some(&ZLIB_FIRST_BYTE) {
        return Ok(Cow::Borrowed(document));
    }
    let mut unpacked = Vec::new();
    let bound = MAX_DECOMPRESSED_BYTES as u64 + 1;
    ZlibDecoder::new(document).take(bound).read_to_end(&mut unpacked).context(DecompressionSnafu)?;
    if unpacked.len() > MAX_DECOMPRESSED_BYTES {
        return Err(io::Error::from(io::ErrorKind::FileTooLarge)).context(DecompressionSnafu);
    }
    Ok(Cow::Owned(unpacked))
}
