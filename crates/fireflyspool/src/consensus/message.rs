//! Messages between replicas.

use crate::{consensus, ids};

/// Content of an envelope.
///
/// `sent_us` is the send time in microseconds since the sender became leader.
/// Replies return it, so a leader knows how old an acknowledgement is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks whether a vote would be granted.
    PreVote(consensus::VoteRequest),
    /// Answers `PreVote`.
    PreVoteReply {
        /// The requested term if granted, else the term of the sender.
        term: ids::Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(consensus::VoteRequest),
    /// Answers `Vote`.
    VoteReply {
        /// Term of the sender.
        term: ids::Term,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: ids::Term,
        /// Entry before the first one sent.
        previous_index: ids::LogIndex,
        /// Term of that entry.
        previous_term: ids::Term,
        /// Last committed entry.
        commit: ids::LogIndex,
        /// Send time.
        sent_us: u64,
        /// Entries from `previous_index + 1` on.
        entries: Vec<consensus::Entry>,
    },
    /// Accepts `Append` or `Install`.
    Accepted {
        /// Term of the sender.
        term: ids::Term,
        /// The log agrees with the leader's up to here.
        matched: ids::LogIndex,
        /// Send time of the request.
        sent_us: u64,
    },
    /// Refuses `Append` because the logs differ or the term is old.
    Rejected {
        /// Term of the sender.
        term: ids::Term,
        /// The `previous_index` that did not match.
        previous_index: ids::LogIndex,
        /// First entry that the leader should try.
        hint_index: ids::LogIndex,
        /// Term of the conflicting entry, if there is one.
        hint_term: Option<ids::Term>,
        /// Send time of the request.
        sent_us: u64,
    },
    /// Sends a chunk of a snapshot.
    Install {
        /// Term of the leader.
        term: ids::Term,
        /// Last entry that the snapshot covers.
        index: ids::LogIndex,
        /// Term of that entry.
        index_term: ids::Term,
        /// Members in force at that entry.
        members: consensus::Members,
        /// Size of the whole snapshot in bytes.
        size: u64,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Send time.
        sent_us: u64,
        /// Content of the chunk.
        #[serde(with = "super::compact_bytes")]
        bytes: Vec<u8>,
    },
    /// Asks for the next chunk of a snapshot.
    InstallMore {
        /// Term of the sender.
        term: ids::Term,
        /// Last entry that the snapshot covers.
        index: ids::LogIndex,
        /// Offset of the next chunk in bytes.
        offset: u64,
        /// Send time of the request.
        sent_us: u64,
    },
}

impl Message {
    /// Whether the message is a request rather than a reply.
    pub(super) fn is_request(&self) -> bool {
        matches!(
            self,
            Self::PreVote(_) | Self::Vote(_) | Self::Append { .. } | Self::Install { .. }
        )
    }
}
