//! Writing of frames and whole files.

use std::io;

use crate::storage;
use crate::storage::frame;

/// Replaces a file durably through a temporary file, so that a crash leaves the old or the new one.
pub(super) fn replace(
    disk: &mut dyn storage::Disk,
    file: &str,
    bytes: &[u8],
) -> Result<(), storage::StorageError> {
    let temporary = format!("{file}.new");
    disk.write(&temporary, bytes)
        .map_err(|source| io_error("write", &temporary, source))?;
    disk.sync(&temporary)
        .map_err(|source| io_error("sync", &temporary, source))?;
    disk.rename(&temporary, file)
        .map_err(|source| io_error("rename", &temporary, source))?;
    disk.sync_folder()
        .map_err(|source| io_error("sync the folder of", file, source))
}

/// Encodes content as one frame.
pub(super) fn encode<T: serde::Serialize + ?Sized>(
    file: &str,
    content: &T,
) -> Result<Vec<u8>, storage::StorageError> {
    let payload = serde_json::to_vec(content);
    let payload = payload.map_err(|source| storage::StorageError::Encoding {
        file: file.to_owned(),
        source,
    })?;
    if payload.len() > frame::MAX_PAYLOAD_BYTES {
        return Err(storage::StorageError::TooLarge {
            file: file.to_owned(),
            bytes: payload.len(),
        });
    }
    let mut buffer = Vec::new();
    frame::encode(&payload, &mut buffer);
    Ok(buffer)
}

/// Adds the operation and the file to an error of the operating system.
pub(super) fn io_error(
    operation: &'static str,
    file: &str,
    source: io::Error,
) -> storage::StorageError {
    storage::StorageError::Io {
        operation,
        file: file.to_owned(),
        source,
    }
}
