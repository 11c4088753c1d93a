//! Data folder of a control VM.
//!
//! A folder holds these files:
//!
//! - `identity`: site, node and incarnation, written once by [`DataFolder::init`];
//! - `log`: vote and entries, appended; one frame per call of [`DataFolder::append`];
//! - `snapshot`: the latest snapshot;
//! - `lock`: locked by the process that uses the folder.
//!
//! `identity`, `snapshot` and a rewritten `log` are written under a temporary
//! name, synced, renamed, and the folder is synced. Each file starts with a
//! frame that names the identity, so a file copied from elsewhere is refused.
//!
//! # Frames
//!
//! A frame is a header of 16 bytes (magic, length, CRC of the payload, CRC of
//! the header) and a JSON payload. Because every append is one frame and is
//! synced, only the last frame can be incomplete after a crash. An incomplete
//! last frame is truncated. Any other bad frame means that synced data was
//! damaged, and the folder is refused: a replica with fewer entries or an older
//! vote than it acknowledged could vote twice or lose committed entries.

mod closed_folder;
mod data_folder;
mod disk;
mod folder_disk;
mod frame;
mod identity;
mod output;
mod replay;
mod storage_error;
mod summary;

pub use data_folder::DataFolder;
pub use disk::Disk;
pub use folder_disk::FolderDisk;
pub use identity::Identity;
pub use storage_error::StorageError;
pub use summary::Summary;
