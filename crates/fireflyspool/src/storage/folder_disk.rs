//! Disk operations on a folder of the file system.

use std::io::Write as _;
use std::{fs, io, path};

use crate::storage;

const LOCK_FILE: &str = "lock";

/// Folder of the file system, locked by this process unless it is only read.
#[derive(Debug)]
pub struct FolderDisk {
    folder: path::PathBuf,
    /// Holds the lock; the operating system releases it when the process ends.
    _lock: Option<fs::File>,
    /// File that was appended to last, kept open between appends.
    appended: Option<(String, fs::File)>,
}

impl FolderDisk {
    /// Opens an existing folder and locks it.
    ///
    /// # Errors
    ///
    /// Fails if another process holds the lock, or with the error of the operating system.
    pub fn lock(folder: &path::Path) -> Result<Self, storage::StorageError> {
        let io_error = |source| storage::StorageError::Io {
            operation: "lock",
            file: LOCK_FILE.to_owned(),
            source,
        };
        let mut options = fs::OpenOptions::new();
        options.create(true).truncate(false).write(true);
        let lock = options.open(folder.join(LOCK_FILE)).map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => return Err(storage::StorageError::Locked),
            Err(fs::TryLockError::Error(source)) => return Err(io_error(source)),
        }
        Ok(Self {
            folder: folder.to_owned(),
            _lock: Some(lock),
            appended: None,
        })
    }

    /// Opens a folder without a lock, for reading only.
    pub(super) fn unlocked(folder: &path::Path) -> Self {
        Self {
            folder: folder.to_owned(),
            _lock: None,
            appended: None,
        }
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut fs::File> {
        let file = match self.appended.take() {
            Some((known, file)) if known == name => file,
            _ => {
                let mut options = fs::OpenOptions::new();
                options.append(true).open(self.folder.join(name))?
            }
        };
        Ok(&mut self.appended.insert((name.to_owned(), file)).1)
    }
}

impl storage::Disk for FolderDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.folder.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.appended = None;
        fs::write(self.folder.join(name), bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_for_append(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.appended = None;
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        fs::File::open(&self.folder)?.sync_all()
    }
}
