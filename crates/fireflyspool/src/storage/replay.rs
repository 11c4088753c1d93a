//! Reading of a data folder.

use crate::{consensus, ids, storage};

pub(super) const IDENTITY_FILE: &str = "identity";
pub(super) const LOG_FILE: &str = "log";
pub(super) const SNAPSHOT_FILE: &str = "snapshot";

/// Content of a data folder.
#[derive(Debug)]
pub(super) struct Replay {
    pub(super) identity: storage::Identity,
    pub(super) recovered: consensus::RecoveredState,
    pub(super) snapshot_bytes: u64,
    /// Length of the complete frames of the log in bytes.
    pub(super) log_bytes: u64,
    /// Length of the incomplete frame after them in bytes.
    pub(super) torn_bytes: u64,
    /// Whether the log still starts with entries that the snapshot covers.
    pub(super) stale_log: bool,
}

/// Reads a folder without changing it.
pub(super) fn read(disk: &dyn storage::Disk) -> Result<Replay, storage::StorageError> {
    let identity = read_identity(disk)?;
    let snapshot_file = read_file(disk, SNAPSHOT_FILE)?;
    let mut recovered = consensus::RecoveredState::default();
    if let Some(bytes) = &snapshot_file {
        recovered.snapshot = Some(read_snapshot(bytes, &identity)?);
    }
    let log = read_file(disk, LOG_FILE)?.ok_or_else(|| storage::StorageError::Missing {
        file: LOG_FILE.to_owned(),
    })?;
    let frames = decode(LOG_FILE, &log)?;
    check_owner(LOG_FILE, &frames, &identity)?;
    for &(offset, payload) in &frames.payloads[1..] {
        let records: Vec<consensus::Record> = parse(LOG_FILE, offset, payload)?;
        for record in records {
            apply(&mut recovered, record).map_err(|reason| damaged(LOG_FILE, offset, reason))?;
        }
    }
    let stale_log = drop_covered_entries(&mut recovered)?;
    Ok(Replay {
        identity,
        recovered,
        snapshot_bytes: snapshot_file.map_or(0, |bytes| bytes.len() as u64),
        log_bytes: frames.length,
        torn_bytes: log.len() as u64 - frames.length,
        stale_log,
    })
}

/// Reads the identity of a folder.
pub(super) fn read_identity(
    disk: &dyn storage::Disk,
) -> Result<storage::Identity, storage::StorageError> {
    let bytes = read_file(disk, IDENTITY_FILE)?.ok_or(storage::StorageError::Uninitialized)?;
    let frames = decode(IDENTITY_FILE, &bytes)?;
    let (offset, payload) = first_frame(IDENTITY_FILE, &frames)?;
    parse(IDENTITY_FILE, offset, payload)
}

fn read_snapshot(
    bytes: &[u8],
    identity: &storage::Identity,
) -> Result<consensus::Snapshot, storage::StorageError> {
    let frames = decode(SNAPSHOT_FILE, bytes)?;
    check_owner(SNAPSHOT_FILE, &frames, identity)?;
    let [_, (offset, payload)] = frames.payloads[..] else {
        return Err(damaged(
            SNAPSHOT_FILE,
            frames.length,
            "incomplete snapshot".to_owned(),
        ));
    };
    parse(SNAPSHOT_FILE, offset, payload)
}

fn apply(
    recovered: &mut consensus::RecoveredState,
    record: consensus::Record,
) -> Result<(), String> {
    match record {
        consensus::Record::Vote(vote) => recovered.vote = vote,
        consensus::Record::Entry(entry) => append(&mut recovered.entries, entry)?,
        consensus::Record::Snapshot { .. } => return Err("the log contains a snapshot".to_owned()),
    }
    Ok(())
}

fn append(entries: &mut Vec<consensus::Entry>, entry: consensus::Entry) -> Result<(), String> {
    if let (Some(first), Some(last)) = (entries.first(), entries.last()) {
        let (first, next) = (first.index, last.index + 1);
        if entry.index > next || entry.index < first {
            return Err(format!("entry {} does not continue the log", entry.index));
        }
        let kept = usize::try_from(entry.index - first).unwrap_or(usize::MAX);
        entries.truncate(kept);
    }
    entries.push(entry);
    Ok(())
}

/// Drops the entries that the snapshot covers; returns whether there were any.
///
/// A crash between writing the snapshot and rewriting the log leaves the old
/// log. Its entries after the snapshot are kept only if it holds the last entry
/// of the snapshot; otherwise they do not continue the snapshot.
fn drop_covered_entries(
    recovered: &mut consensus::RecoveredState,
) -> Result<bool, storage::StorageError> {
    let first = recovered.entries.first().map(|entry| entry.index);
    let Some(snapshot) = &recovered.snapshot else {
        return match first {
            None | Some(1) => Ok(false),
            Some(_) => Err(storage::StorageError::Missing {
                file: SNAPSHOT_FILE.to_owned(),
            }),
        };
    };
    let (index, term): (ids::LogIndex, ids::Term) = (snapshot.index, snapshot.term);
    match first {
        None => Ok(false),
        Some(first) if first == index + 1 => Ok(false),
        Some(first) if first > index + 1 => Err(storage::StorageError::Missing {
            file: SNAPSHOT_FILE.to_owned(),
        }),
        Some(_) => {
            let mut entries = recovered.entries.iter();
            let matches = entries.any(|entry| (entry.index, entry.term) == (index, term));
            let follows = |entry: &consensus::Entry| matches && entry.index > index;
            recovered.entries.retain(follows);
            Ok(true)
        }
    }
}

fn read_file(
    disk: &dyn storage::Disk,
    file: &str,
) -> Result<Option<Vec<u8>>, storage::StorageError> {
    disk.read(file).map_err(|source| storage::StorageError::Io {
        operation: "read",
        file: file.to_owned(),
        source,
    })
}

fn decode<'a>(
    file: &str,
    bytes: &'a [u8],
) -> Result<storage::frame::Frames<'a>, storage::StorageError> {
    storage::frame::decode(bytes).map_err(|(offset, reason)| damaged(file, offset, reason))
}

fn first_frame<'a>(
    file: &str,
    frames: &storage::frame::Frames<'a>,
) -> Result<(u64, &'a [u8]), storage::StorageError> {
    let first = frames.payloads.first().copied();
    first.ok_or_else(|| damaged(file, 0, "no complete frame".to_owned()))
}

fn check_owner(
    file: &str,
    frames: &storage::frame::Frames<'_>,
    identity: &storage::Identity,
) -> Result<(), storage::StorageError> {
    let (offset, payload) = first_frame(file, frames)?;
    let owner: storage::Identity = parse(file, offset, payload)?;
    if owner == *identity {
        Ok(())
    } else {
        let file = file.to_owned();
        Err(storage::StorageError::ForeignFile { file })
    }
}

fn parse<T: serde::de::DeserializeOwned>(
    file: &str,
    offset: u64,
    payload: &[u8],
) -> Result<T, storage::StorageError> {
    serde_json::from_slice(payload).map_err(|error| damaged(file, offset, error.to_string()))
}

fn damaged(file: &str, offset: u64, reason: String) -> storage::StorageError {
    storage::StorageError::Damaged {
        file: file.to_owned(),
        offset,
        reason,
    }
}
