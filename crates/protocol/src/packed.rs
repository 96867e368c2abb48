//! Configurations in fewer bytes on their way to gateways.
//!
//! A gateway's grants of quotas travel on the same connection, behind a configuration that may have megabytes. Most of
//! it repeats names and hosts, so that it shrinks to a tenth.

use std::borrow::Cow;
use std::io::{self, Read, Write};

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;

use crate::error::PackingSnafu;
use crate::ProtocolError;
use snafu::ResultExt;

/// No packed document unpacks to more bytes.
pub const MAX_UNPACKED_BYTES: usize = 16 << 20;
/// How a zlib stream with a window of 32 KiB begins. No JSON text begins so.
const ZLIB_HEAD: u8 = 0x78;

/// A document packed.
pub fn compress(document: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::with_capacity(document.len() / 8), Compression::fast());
    let written = encoder.write_all(document);
    // Writing into memory can't fail.
    written.and_then(|()| encoder.finish()).unwrap_or_else(|_| document.to_vec())
}

/// A document as it was before it was packed, or as it is where it never was.
pub fn decompress(document: &[u8]) -> Result<Cow<'_, [u8]>, ProtocolError> {
    if document.first() != Some(&ZLIB_HEAD) {
        return Ok(Cow::Borrowed(document));
    }
    let mut unpacked = Vec::new();
    let bound = MAX_UNPACKED_BYTES as u64 + 1;
    ZlibDecoder::new(document).take(bound).read_to_end(&mut unpacked).context(PackingSnafu)?;
    if unpacked.len() > MAX_UNPACKED_BYTES {
        return Err(io::Error::from(io::ErrorKind::FileTooLarge)).context(PackingSnafu);
    }
    Ok(Cow::Owned(unpacked))
}
