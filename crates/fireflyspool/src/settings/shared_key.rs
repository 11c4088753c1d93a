//! Secret key shared by the processes of one site.

use std::{fmt, fs, os::unix::fs::PermissionsExt, path};

use crate::settings;

/// Shorter keys can be guessed.
const MIN_KEY_BYTES: usize = 16;

/// Mode bits that let the group or other users read a file.
const NON_OWNER_READ_BITS: u32 = 0o044;

/// Key that authenticates commands, announcements and messages between processes.
#[derive(Clone)]
pub struct SharedKey(String);

impl SharedKey {
    /// Reads the key from a file.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] if the file cannot be read, may
    /// be read by users other than its owner, or holds a key that is too short.
    pub fn load(path: &path::Path) -> Result<Self, settings::SettingsError> {
        let read_error = |source| settings::SettingsError::Read {
            path: path.to_owned(),
            source,
        };
        let mode = fs::metadata(path).map_err(read_error)?.permissions().mode();
        if mode & NON_OWNER_READ_BITS != 0 {
            return Err(settings::SettingsError::ExposedKey {
                path: path.to_owned(),
            });
        }
        let key = fs::read_to_string(path)
            .map_err(read_error)?
            .trim()
            .to_owned();
        if key.len() < MIN_KEY_BYTES {
            return Err(settings::SettingsError::ShortKey {
                path: path.to_owned(),
                minimum: MIN_KEY_BYTES,
            });
        }
        Ok(Self(key))
    }

    /// Returns the value of the authorization header that carries the key.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Returns whether an authorization header carries the key.
    ///
    /// The time of the comparison does not depend on where the two differ, so
    /// that it does not reveal the key.
    pub fn matches(&self, header: &str) -> bool {
        let expected = self.header();
        let same_length = expected.len() == header.len();
        let differences = expected
            .bytes()
            .zip(header.bytes())
            .fold(0, |differences, (a, b)| differences | (a ^ b));
        same_length && differences == 0
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey")
    }
}
