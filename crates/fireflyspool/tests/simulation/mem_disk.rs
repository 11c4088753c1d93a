//! In-memory disk that distinguishes written from synced data.

use std::{io, sync};

use fireflyspool::{sorted, storage};

/// What a crash leaves of the data that was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tail {
    /// Nothing.
    Lost,
    /// Everything.
    Kept,
    /// A part of the last file content.
    Torn,
}

#[derive(Clone, Default)]
struct File {
    written: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Default)]
struct Content {
    files: Vec<File>,
    names: sorted::SortedMap<String, usize>,
    synced_names: sorted::SortedMap<String, usize>,
    /// Changing operations that still succeed; later ones fail, and writes stop halfway.
    fail_after: Option<u32>,
}

/// Handle of a disk that outlives the process of its node.
#[derive(Clone, Default)]
pub(crate) struct MemDisk(sync::Arc<sync::Mutex<Content>>);

impl MemDisk {
    /// Lets changing operations fail after `operations` more; `None` ends the failure.
    pub(crate) fn fail_after(&self, operations: Option<u32>) {
        self.content().fail_after = operations;
    }

    /// Removes all files, as before a folder is made anew.
    #[allow(dead_code, reason = "not every test binary makes folders anew")]
    pub(crate) fn clear(&self) {
        self.content().names.clear();
    }

    /// Applies a crash; `cut` chooses how much of a torn tail is left.
    pub(crate) fn crash(&self, tail: Tail, cut: u64) {
        let mut content = self.content();
        content.fail_after = None;
        if tail == Tail::Lost || (tail == Tail::Torn && cut.is_multiple_of(2)) {
            content.names = content.synced_names.clone();
        }
        for file in &mut content.files {
            match tail {
                Tail::Kept => {}
                Tail::Lost => file.written = file.synced.clone(),
                Tail::Torn => {
                    let kept = file.synced.len().min(file.written.len());
                    let extra = (file.written.len() - kept) as u64;
                    let left = if extra == 0 { 0 } else { cut % extra };
                    file.written.truncate(kept + left as usize);
                }
            }
            file.synced = file.written.clone();
        }
        content.synced_names = content.names.clone();
    }

    fn content(&self) -> sync::MutexGuard<'_, Content> {
        self.0.lock().expect("no holder of the lock panicked")
    }
}

impl Content {
    /// Counts a changing operation and returns whether it fails.
    fn fails(&mut self) -> bool {
        match &mut self.fail_after {
            None => false,
            Some(0) => true,
            Some(left) => {
                *left -= 1;
                false
            }
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let at = self.names.get(name).copied();
        let at = at.ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        Ok(&mut self.files[at])
    }
}

fn full() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}

impl storage::Disk for MemDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.content().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let content = self.content();
        let at = content.names.get(name);
        Ok(at.map(|at| content.files[*at].written.clone()))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.content();
        let failed = content.fails();
        let kept = if failed { bytes.len() / 2 } else { bytes.len() };
        let file = File {
            written: bytes[..kept].to_vec(),
            synced: Vec::new(),
        };
        content.files.push(file);
        let at = content.files.len() - 1;
        content.names.insert(name.to_owned(), at);
        if failed { Err(full()) } else { Ok(()) }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.content();
        let failed = content.fails();
        let kept = if failed { bytes.len() / 2 } else { bytes.len() };
        content
            .file(name)?
            .written
            .extend_from_slice(&bytes[..kept]);
        if failed { Err(full()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut content = self.content();
        if content.fails() {
            return Err(full());
        }
        content.file(name)?.written.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.content();
        if content.fails() {
            return Err(io::Error::other("injected failure of sync"));
        }
        let file = content.file(name)?;
        file.synced = file.written.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut content = self.content();
        if content.fails() {
            return Err(full());
        }
        let moved = content.names.remove(from);
        let moved = moved.ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        content.names.insert(to.to_owned(), moved);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut content = self.content();
        if content.fails() {
            return Err(io::Error::other("injected failure of sync"));
        }
        content.synced_names = content.names.clone();
        Ok(())
    }
}
