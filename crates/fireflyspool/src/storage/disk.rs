//! Disk operations of a data folder.

use std::io;

/// Files of one folder. Tests use another implementation to inject failures.
///
/// The content of a file is durable after `sync`, its name after `sync_folder`.
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

    /// Appends to an existing file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
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

    /// Makes the names of created and renamed files durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_folder(&mut self) -> io::Result<()>;
}
