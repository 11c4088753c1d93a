//! The data folder of one replica.

use std::{fs, path};

use crate::storage::{output, replay};
use crate::{consensus, ids, storage};

/// Open data folder, locked by this process.
pub struct DataFolder {
    disk: Box<dyn storage::Disk>,
    identity: storage::Identity,
    /// Set by a failed write or sync, after which the content on disk is unknown.
    failed: bool,
}

impl DataFolder {
    /// Creates a data folder for a new identity.
    ///
    /// # Errors
    ///
    /// Fails if the folder holds files, if another process uses it, or if it cannot be written.
    pub fn init(
        folder: &path::Path,
        identity: &storage::Identity,
    ) -> Result<(), storage::StorageError> {
        let created = fs::create_dir_all(folder);
        created.map_err(|source| output::io_error("create", "the data folder", source))?;
        let mut disk = storage::FolderDisk::lock(folder)?;
        Self::init_on(&mut disk, identity)
    }

    /// Initializes an empty disk for a new identity.
    ///
    /// # Errors
    ///
    /// Fails if the disk holds files or cannot be written.
    pub fn init_on(
        disk: &mut dyn storage::Disk,
        identity: &storage::Identity,
    ) -> Result<(), storage::StorageError> {
        let names = disk
            .list()
            .map_err(|source| output::io_error("list", "the data folder", source))?;
        if !names.is_empty() {
            return Err(storage::StorageError::NotEmpty(names.join(", ")));
        }
        // The identity is written last, so that an interrupted initialization leaves none.
        let owner = output::encode(replay::LOG_FILE, identity)?;
        output::replace(disk, replay::LOG_FILE, &owner)?;
        output::replace(disk, replay::IDENTITY_FILE, &owner)
    }

    /// Opens the data folder of a node and reads what it holds.
    ///
    /// # Errors
    ///
    /// Fails if the folder is not initialized, belongs to another site or node,
    /// is used by another process, is damaged or cannot be read.
    pub fn open(
        folder: &path::Path,
        site: &str,
        node: ids::NodeId,
    ) -> Result<(Self, consensus::RecoveredState), storage::StorageError> {
        // Locking creates a file, and a folder that was never initialized must stay empty.
        replay::read_identity(&storage::FolderDisk::unlocked(folder))?;
        let disk = storage::FolderDisk::lock(folder)?;
        Self::open_on(Box::new(disk), site, node)
    }

    /// Opens the data folder of a node on a disk.
    ///
    /// # Errors
    ///
    /// Fails for the reasons of [`DataFolder::open`].
    pub fn open_on(
        mut disk: Box<dyn storage::Disk>,
        site: &str,
        node: ids::NodeId,
    ) -> Result<(Self, consensus::RecoveredState), storage::StorageError> {
        let found = replay::read_identity(disk.as_ref())?;
        if found.site != site || found.node != node {
            let site = site.to_owned();
            return Err(storage::StorageError::Foreign { found, site, node });
        }
        let read = replay::read(disk.as_ref())?;
        if read.torn_bytes > 0 {
            disk.truncate(replay::LOG_FILE, read.log_bytes)
                .map_err(|source| output::io_error("cut", replay::LOG_FILE, source))?;
        }
        // A process that was killed may have left records that are complete but not synced.
        disk.sync(replay::LOG_FILE)
            .map_err(|source| output::io_error("sync", replay::LOG_FILE, source))?;
        let mut folder = Self {
            disk,
            identity: read.identity,
            failed: false,
        };
        if read.stale_log {
            // New entries would not continue the entries in the file.
            folder.rewrite_log(&read.recovered.entries, read.recovered.vote)?;
        }
        Ok((folder, read.recovered))
    }

    /// Identity of the folder.
    pub fn identity(&self) -> &storage::Identity {
        &self.identity
    }

    /// Writes records and syncs once.
    ///
    /// A snapshot replaces the records before it and is synced on its own.
    ///
    /// # Errors
    ///
    /// Fails if the records cannot be encoded, written or synced. The folder is
    /// unusable from then on, because what reached the disk is unknown.
    pub fn append(&mut self, records: &[consensus::Record]) -> Result<(), storage::StorageError> {
        let mut rest = records;
        let is_snapshot =
            |record: &consensus::Record| matches!(record, consensus::Record::Snapshot { .. });
        if let Some(position) = records.iter().rposition(is_snapshot)
            && let consensus::Record::Snapshot {
                snapshot,
                suffix,
                vote,
            } = &records[position]
        {
            self.save_snapshot(snapshot, suffix, *vote)?;
            rest = &records[position + 1..];
        }
        if rest.is_empty() {
            return Ok(());
        }
        self.try_write(|disk| {
            let frame = output::encode(replay::LOG_FILE, rest)?;
            disk.append(replay::LOG_FILE, &frame)
                .map_err(|source| output::io_error("write", replay::LOG_FILE, source))?;
            disk.sync(replay::LOG_FILE)
                .map_err(|source| output::io_error("sync", replay::LOG_FILE, source))
        })
    }

    /// Replaces snapshot and log.
    ///
    /// # Errors
    ///
    /// Fails for the reasons of [`DataFolder::append`].
    pub fn save_snapshot(
        &mut self,
        snapshot: &consensus::Snapshot,
        suffix: &[consensus::Entry],
        vote: consensus::Vote,
    ) -> Result<(), storage::StorageError> {
        let identity = self.identity.clone();
        self.try_write(|disk| {
            let mut file = output::encode(replay::SNAPSHOT_FILE, &identity)?;
            file.extend(output::encode(replay::SNAPSHOT_FILE, snapshot)?);
            output::replace(disk, replay::SNAPSHOT_FILE, &file)
        })?;
        self.rewrite_log(suffix, vote)
    }

    fn rewrite_log(
        &mut self,
        entries: &[consensus::Entry],
        vote: consensus::Vote,
    ) -> Result<(), storage::StorageError> {
        let mut records = vec![consensus::Record::Vote(vote)];
        records.extend(entries.iter().cloned().map(consensus::Record::Entry));
        let identity = self.identity.clone();
        self.try_write(|disk| {
            let mut file = output::encode(replay::LOG_FILE, &identity)?;
            file.extend(output::encode(replay::LOG_FILE, &records)?);
            output::replace(disk, replay::LOG_FILE, &file)
        })
    }

    /// Runs a write; once one failed, the folder is unusable.
    fn try_write(
        &mut self,
        write: impl FnOnce(&mut dyn storage::Disk) -> Result<(), storage::StorageError>,
    ) -> Result<(), storage::StorageError> {
        if self.failed {
            return Err(storage::StorageError::Unusable);
        }
        let written = write(self.disk.as_mut());
        self.failed = written.is_err();
        written
    }
}
