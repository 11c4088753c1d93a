//! Errors of the data folder.

use std::io;

use crate::{ids, storage};

/// Why a data folder cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("cannot {operation} {file}")]
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// File in the data folder.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("another process uses the data folder")]
    Locked,
    /// The folder was never initialized, or its disk was lost.
    #[error("the data folder is empty or was never initialized; run `data init` once")]
    Uninitialized,
    /// The folder cannot be initialized, because it holds files.
    #[error("the data folder is not empty: it holds {0}")]
    NotEmpty(String),
    /// The folder belongs to another site or node.
    #[error(
        "the data folder belongs to node {} of site {}, not to node {node} of site {site}",
        found.node, found.site
    )]
    Foreign {
        /// Identity in the folder.
        found: storage::Identity,
        /// Expected site.
        site: String,
        /// Expected node.
        node: ids::NodeId,
    },
    /// A file belongs to another folder.
    #[error("{file} was written for another data folder")]
    ForeignFile {
        /// File in the data folder.
        file: String,
    },
    /// A file is missing.
    #[error("{file} is missing from the data folder")]
    Missing {
        /// File in the data folder.
        file: String,
    },
    /// Synced data is damaged; the member must be replaced.
    #[error("{file} is damaged at byte {offset}: {reason}; replace this member")]
    Damaged {
        /// File in the data folder.
        file: String,
        /// Offset of the bad frame in bytes.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// Data cannot be encoded.
    #[error("cannot encode data for {file}")]
    Encoding {
        /// File in the data folder.
        file: String,
        /// Error of the encoder.
        source: serde_json::Error,
    },
    /// Data is larger than a frame can be.
    #[error("{file} needs a frame of {bytes} bytes, more than a frame can hold")]
    TooLarge {
        /// File in the data folder.
        file: String,
        /// Size of the data in bytes.
        bytes: usize,
    },
    /// An earlier write or sync failed, so the content of the files is unknown.
    #[error("the data folder cannot be used after a failed write; restart the process")]
    Unusable,
}
