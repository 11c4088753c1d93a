//! The key that processes of one site share.

use std::{fmt, fs, os::unix::fs::PermissionsExt, path};

use crate::settings;

/// Least length of a key in characters; shorter ones can be guessed.
const LEAST_LENGTH: usize = 16;

/// Bits of a file mode that let others than the owner read the file.
const OTHERS_MAY_READ: u32 = 0o044;

/// Key that commands, announcements and messages between processes carry.
#[derive(Clone)]
pub struct SharedKey(String);

impl SharedKey {
    /// Reads the key from a file.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] if the file cannot be read, may
    /// be read by others, or holds too short a key.
    pub fn load(path: &path::Path) -> Result<Self, settings::SettingsError> {
        let unreadable = |source| settings::SettingsError::Read {
            path: path.to_owned(),
            source,
        };
        let mode = fs::metadata(path).map_err(unreadable)?.permissions().mode();
        if mode & OTHERS_MAY_READ != 0 {
            return Err(settings::SettingsError::ExposedKey {
                path: path.to_owned(),
            });
        }
        let key = fs::read_to_string(path)
            .map_err(unreadable)?
            .trim()
            .to_owned();
        if key.len() < LEAST_LENGTH {
            return Err(settings::SettingsError::ShortKey {
                path: path.to_owned(),
                least: LEAST_LENGTH,
            });
        }
        Ok(Self(key))
    }

    /// Value of the authorization header that carries the key.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Whether an authorization header carries the key.
    ///
    /// The time of the comparison does not depend on where the two differ.
    pub fn matches(&self, header: &str) -> bool {
        let wanted = self.header();
        let same_length = wanted.len() == header.len();
        let differences = wanted
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
