//! Disk operations of a data folder.

use std::io;

/// Files of one folder; tests replace it to inject failures.
///
/// Content is durable after `sync`, names after `sync_folder`.
pub trait Disk: Send {
    /// Names of the files.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Content of a file, `None` if there is no such file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Creates or replaces a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; a part may have been written.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Adds to the end of a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; the content is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces the one that has the new name.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Makes created and renamed files durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_folder(&mut self) -> io::Result<()>;
}
