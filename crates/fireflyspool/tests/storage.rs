//! Data folder under torn writes, damage, failing disks and foreign files.

#[path = "simulation/mem_disk.rs"]
mod mem_disk;

use std::{fs, path, time};

use fireflyspool::{consensus, ids, storage};
use storage::Disk as _;

fn identity(node: ids::NodeId, incarnation: ids::Incarnation) -> storage::Identity {
    storage::Identity {
        site: "site".to_owned(),
        node,
        incarnation,
        joining: false,
    }
}

fn new_disk(node: ids::NodeId, incarnation: ids::Incarnation) -> mem_disk::MemDisk {
    let mut disk = mem_disk::MemDisk::default();
    storage::DataFolder::init_on(&mut disk, &identity(node, incarnation)).expect("it is empty");
    disk
}

fn open(
    disk: &mem_disk::MemDisk,
) -> Result<(storage::DataFolder, consensus::RecoveredState), storage::StorageError> {
    storage::DataFolder::open_on(Box::new(disk.clone()), "site", 1)
}

fn entry(index: ids::LogIndex, term: ids::Term) -> consensus::Entry {
    let payload = format!(
        r#"{{"operator":"op","number":{index},"value":"{:0>120}"}}"#,
        index
    );
    let content = consensus::Content::Command(payload.into_bytes());
    consensus::Entry {
        index,
        term,
        content,
    }
}

fn record(index: ids::LogIndex) -> consensus::Record {
    consensus::Record::Entry(entry(index, 1))
}

/// A disk with entries 1 to 3, each appended on its own.
fn disk_with_entries() -> mem_disk::MemDisk {
    let disk = new_disk(1, 7);
    let (mut folder, _) = open(&disk).expect("the folder is new");
    for index in 1..=3 {
        folder.append(&[record(index)]).expect("the disk works");
    }
    disk
}

fn alter(disk: &mem_disk::MemDisk, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
    let mut disk = disk.clone();
    let mut bytes = disk.read(name).expect("it is readable").expect("it exists");
    change(&mut bytes);
    disk.write(name, &bytes).expect("it is writable");
    disk.sync(name).expect("it can be synced");
}

fn log_length(disk: &mem_disk::MemDisk) -> usize {
    let log = disk.read("log").expect("it is readable");
    log.expect("it exists").len()
}

/// Guards against a start that fails, or invents entries, after a write was interrupted.
#[test]
fn a_torn_tail_is_cut_at_every_length() {
    let full = log_length(&disk_with_entries());
    let two = {
        let disk = new_disk(1, 7);
        let (mut folder, _) = open(&disk).expect("the folder is new");
        folder.append(&[record(1)]).expect("the disk works");
        folder.append(&[record(2)]).expect("the disk works");
        log_length(&disk)
    };
    for length in two..full {
        for zeros in [0, full - length] {
            let disk = disk_with_entries();
            alter(&disk, "log", |log| {
                log.truncate(length);
                log.resize(length + zeros, 0);
            });
            let (mut folder, recovered) = open(&disk).expect("a torn tail is cut");
            assert_eq!(
                recovered.entries,
                [entry(1, 1), entry(2, 1)],
                "cut at {length}"
            );
            folder.append(&[record(3)]).expect("the disk works");
            let (_, recovered) = open(&disk).expect("the folder is intact");
            assert_eq!(recovered.entries.len(), 3, "cut at {length}");
        }
    }
}

/// Guards against a replica that continues without entries that it acknowledged.
#[test]
fn a_folder_with_a_damaged_record_is_refused() {
    let length = log_length(&disk_with_entries());
    let last = b'}';
    for at in 0..length {
        let disk = disk_with_entries();
        alter(&disk, "log", |log| log[at] ^= 0x20);
        let refused = open(&disk).map(|_| ()).expect_err("damage is refused");
        let message = refused.to_string();
        assert!(
            message.contains("log is damaged at byte"),
            "byte {at}: {message}"
        );
    }
    let disk = disk_with_entries();
    alter(&disk, "log", |log| log.push(last));
    assert!(
        open(&disk).is_ok(),
        "the start of an interrupted append is cut"
    );
}

/// Guards against acknowledging what a full disk or a failed sync did not keep.
#[test]
fn a_failed_write_or_sync_makes_the_folder_unusable() {
    let tails = [
        mem_disk::Tail::Lost,
        mem_disk::Tail::Kept,
        mem_disk::Tail::Torn,
    ];
    for operations in 0..2 {
        for tail in tails {
            let disk = disk_with_entries();
            let (mut folder, _) = open(&disk).expect("the folder is intact");
            disk.fail_after(Some(operations));
            let failed = folder.append(&[record(4)]).expect_err("the disk fails");
            assert!(matches!(failed, storage::StorageError::Io { .. }));
            disk.fail_after(None);
            let refused = folder
                .append(&[record(4)])
                .expect_err("the content is unknown");
            assert!(matches!(refused, storage::StorageError::Unusable));
            disk.crash(tail, 5);
            let (_, recovered) = open(&disk).expect("a restart cuts the torn tail");
            assert!(recovered.entries.len() >= 3, "synced entries stay");
        }
    }
}

/// Guards against a lost entry when the process ends while a snapshot is saved.
#[test]
fn an_interrupted_snapshot_loses_no_entry() {
    let vote = consensus::Vote {
        term: 2,
        candidate: Some(1),
    };
    let snapshot = consensus::Snapshot {
        index: 2,
        term: 1,
        members: consensus::Members::of_voters([(1, 7)]),
        bytes: vec![0xff, 0, 1],
    };
    for operations in 0..=8 {
        let disk = disk_with_entries();
        let (mut folder, _) = open(&disk).expect("the folder is intact");
        folder
            .append(&[consensus::Record::Vote(vote)])
            .expect("the disk works");
        disk.fail_after(Some(operations));
        let saved = folder.save_snapshot(&snapshot, &[entry(3, 1)], vote);
        assert_eq!(saved.is_ok(), operations == 8);
        disk.crash(mem_disk::Tail::Torn, operations.into());
        let (mut folder, recovered) = open(&disk).expect("the folder stays usable");
        let covered = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let last = recovered.entries.last().map(|entry| entry.index);
        assert_eq!(
            (recovered.vote, last),
            (vote, Some(3)),
            "after {operations}"
        );
        assert_eq!(
            recovered.entries[0].index,
            covered + 1,
            "after {operations}"
        );
        folder.append(&[record(4)]).expect("the disk works");
        let (_, recovered) = open(&disk).expect("the log continues");
        assert_eq!(recovered.entries.last().map(|entry| entry.index), Some(4));
    }
}

/// Guards against a log that cannot be read after a snapshot from the leader that goes beyond
/// the log was saved and the process ended before the log was rewritten.
#[test]
fn an_interrupted_install_leaves_a_usable_log() {
    let vote = consensus::Vote::default();
    let snapshot = consensus::Snapshot {
        index: 5,
        term: 1,
        members: consensus::Members::of_voters([(1, 7)]),
        bytes: Vec::new(),
    };
    for operations in 0..=8 {
        let disk = disk_with_entries();
        let (mut folder, _) = open(&disk).expect("the folder is intact");
        disk.fail_after(Some(operations));
        let saved = folder.save_snapshot(&snapshot, &[], vote);
        assert_eq!(saved.is_ok(), operations == 8);
        disk.crash(mem_disk::Tail::Kept, 0);
        let (mut folder, recovered) = open(&disk).expect("the folder stays usable");
        let last = recovered.snapshot.map_or(3, |snapshot| snapshot.index);
        let next = record(last + 1);
        folder.append(&[next]).expect("the disk works");
        let (_, recovered) = open(&disk).expect("the log continues");
        let newest = recovered.entries.last().map(|entry| entry.index);
        assert_eq!(newest, Some(last + 1), "after {operations}");
    }
}

/// Guards against a start on the disk of another member.
#[test]
fn foreign_and_empty_folders_are_refused() {
    let disk = new_disk(2, 7);
    let refused = open(&disk).map(|_| ()).expect_err("node 2 is not node 1");
    assert!(matches!(refused, storage::StorageError::Foreign { .. }));
    let empty = mem_disk::MemDisk::default();
    let refused = open(&empty).map(|_| ()).expect_err("nothing is there");
    assert!(matches!(refused, storage::StorageError::Uninitialized));
    let copied = new_disk(1, 8);
    let log = disk_with_entries().read("log").expect("it is readable");
    alter(&copied, "log", |bytes| *bytes = log.expect("it exists"));
    let refused = open(&copied)
        .map(|_| ())
        .expect_err("the log has another identity");
    assert!(matches!(refused, storage::StorageError::ForeignFile { .. }));
    let again = storage::DataFolder::init_on(&mut copied.clone(), &identity(1, 9));
    assert!(matches!(again, Err(storage::StorageError::NotEmpty(_))));
}

fn fresh_folder(name: &str) -> path::PathBuf {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if folder.exists() {
        fs::remove_dir_all(&folder).expect("the folder can be removed");
    }
    folder
}

/// Guards against two processes that write one folder.
#[test]
fn a_folder_in_use_is_locked() {
    let folder = fresh_folder("locked");
    let refused = storage::DataFolder::open(&folder, "site", 1).map(|_| ());
    assert!(refused.is_err() && !folder.exists(), "open creates nothing");
    storage::DataFolder::init(&folder, &identity(1, 7)).expect("the folder is new");
    let first = storage::DataFolder::open(&folder, "site", 1).expect("nobody uses it");
    let second = storage::DataFolder::open(&folder, "site", 1).map(|_| ());
    assert!(matches!(second, Err(storage::StorageError::Locked)));
    drop(first);
    assert!(storage::DataFolder::open(&folder, "site", 1).is_ok());
}

/// Time to open a folder with a number of changes and to apply them all again.
fn restart_time(changes: u64) -> time::Duration {
    let folder = fresh_folder(&format!("restart-{changes}"));
    storage::DataFolder::init(&folder, &identity(1, 7)).expect("the folder is new");
    let (mut data, _) = storage::DataFolder::open(&folder, "site", 1).expect("nobody uses it");
    let members = consensus::Members::of_voters([(1, 7)]);
    let first = consensus::Entry {
        index: 1,
        term: 1,
        content: consensus::Content::Members(members),
    };
    data.append(&[consensus::Record::Entry(first)])
        .expect("the disk works");
    let records: Vec<_> = (2..=changes + 1).map(record).collect();
    for batch in records.chunks(100) {
        data.append(batch).expect("the disk works");
    }
    drop(data);
    let start = time::Instant::now();
    let (_, recovered) = storage::DataFolder::open(&folder, "site", 1).expect("nobody uses it");
    let config = consensus::Config::new(1, 7, vec![1]);
    let (mut replica, _) = consensus::Replica::new(config, recovered, start, 0);
    let later = start + time::Duration::from_secs(1);
    let actions = replica.handle(consensus::Event::Timer, later, 0);
    let taken = start.elapsed();
    let applied = actions.iter();
    let applied = applied.filter(|action| matches!(action, consensus::Action::Apply { .. }));
    assert_eq!(applied.count() as u64, changes);
    let summary = storage::DataFolder::inspect(&folder).expect("the folder is intact");
    assert_eq!(summary.last_index, Some(changes + 1));
    println!("{changes} changes, {} bytes: {taken:?}", summary.log_bytes);
    taken
}

/// Guards against a restart whose time grows faster than the log.
#[test]
fn a_restart_is_fast_after_many_changes() {
    restart_time(300);
    restart_time(3000);
    // A leader is replaced within 800 ms; a restart must not take much longer.
    assert!(restart_time(30_000) < time::Duration::from_secs(2));
}
