//! Settings of a searcher process.

use std::{net, path};

use crate::searcher;

/// Searchers of one process.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Entry addresses to announce to.
    pub entries: Vec<net::SocketAddr>,
    /// File with the key of the site.
    pub key_file: Option<path::PathBuf>,
    /// File that receives a JSON array of listings.
    pub listing: Option<path::PathBuf>,
    /// Searchers.
    pub searchers: Vec<searcher::Profile>,
    /// Groups of searchers.
    pub groups: Vec<searcher::Group>,
}

impl Settings {
    /// Reads a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not fit.
    pub fn read(path: &path::Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Ok(serde_saphyr::from_str(&text)?)
    }

    /// Profiles of all searchers.
    pub fn profiles(&self) -> Vec<searcher::Profile> {
        let mut profiles = self.searchers.clone();
        profiles.extend(self.groups.iter().flat_map(searcher::Group::profiles));
        profiles
    }
}
