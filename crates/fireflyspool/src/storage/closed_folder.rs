//! Operations on a data folder that is not open.

use std::{fs, path};

use crate::storage;
use crate::storage::{output, replay};

/// Most entries in a summary.
const SUMMARY_ENTRIES: usize = 10;

impl storage::DataFolder {
    /// Whether a folder holds an identity.
    ///
    /// # Errors
    ///
    /// Fails if the identity exists and cannot be read.
    pub fn is_initialized(folder: &path::Path) -> Result<bool, storage::StorageError> {
        let disk = storage::FolderDisk::unlocked(folder);
        let found = storage::Disk::read(&disk, replay::IDENTITY_FILE);
        let found =
            found.map_err(|error| output::io_error("read", replay::IDENTITY_FILE, error))?;
        Ok(found.is_some())
    }

    /// Identity of a folder that is not open.
    ///
    /// # Errors
    ///
    /// Fails if the folder is not initialized or its identity cannot be read.
    pub fn identity_of(folder: &path::Path) -> Result<storage::Identity, storage::StorageError> {
        replay::read_identity(&storage::FolderDisk::unlocked(folder))
    }

    /// Removes all files of a folder, the identity first.
    ///
    /// Nothing is lost in a folder whose initialization was interrupted or
    /// whose node number was retired.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be removed.
    pub fn clear(folder: &path::Path) -> Result<(), storage::StorageError> {
        let failed = |error| output::io_error("remove", "the data folder's files", error);
        fs::create_dir_all(folder).map_err(failed)?;
        let mut names = vec![replay::IDENTITY_FILE.to_owned()];
        let disk = storage::FolderDisk::unlocked(folder);
        names.extend(storage::Disk::list(&disk).map_err(failed)?);
        for name in names {
            match fs::remove_file(folder.join(name)) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                    return Err(failed(error));
                }
                _ => {}
            }
        }
        fs::File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(failed)
    }

    /// Summarizes a data folder without locking or changing it.
    ///
    /// # Errors
    ///
    /// Fails if the folder is not initialized, is damaged or cannot be read.
    pub fn inspect(folder: &path::Path) -> Result<storage::Summary, storage::StorageError> {
        let read = replay::read(&storage::FolderDisk::unlocked(folder))?;
        let entries = &read.recovered.entries;
        let shown = entries.len().saturating_sub(SUMMARY_ENTRIES);
        Ok(storage::Summary {
            identity: read.identity,
            vote: read.recovered.vote,
            snapshot_index: read.recovered.snapshot.as_ref().map(|s| s.index),
            snapshot_bytes: read.snapshot_bytes,
            first_index: entries.first().map(|entry| entry.index),
            last_index: entries.last().map(|entry| entry.index),
            log_bytes: read.log_bytes,
            torn_bytes: read.torn_bytes,
            last_entries: entries[shown..].to_vec(),
        })
    }
}
