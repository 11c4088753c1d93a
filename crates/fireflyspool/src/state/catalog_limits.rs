//! Bounds of the catalog, and refusals of changes that do not fit.

use crate::{ids, sorted, state};

/// Most shards of one index version; bounds the work of one query.
const MAX_SHARDS: u32 = 4_096;

/// Most collections, services or names out of service; bounds memory on every entry VM.
const MAX_CATALOG_ENTRIES: usize = 4_096;

/// Most slots or connections of one backend server.
const MAX_SERVER_LIMIT: u32 = 100_000;

pub(super) fn take_out(
    out: &mut sorted::SortedMap<String, ids::Revision>,
    name: &str,
    revision: ids::Revision,
) -> Result<(), state::ChangeError> {
    if out.contains_key(name) {
        return Err(state::ChangeError::Exists(format!(
            "the entry that takes {name} out"
        )));
    }
    check_count(out.len(), "names taken out")?;
    out.insert(name.to_owned(), revision);
    Ok(())
}

pub(super) fn missing(what: &str, name: &str) -> state::ChangeError {
    state::ChangeError::Missing(format!("{what} {name}"))
}

pub(super) fn check_count(count: usize, what: &str) -> Result<(), state::ChangeError> {
    if count < MAX_CATALOG_ENTRIES {
        Ok(())
    } else {
        Err(state::ChangeError::TooMany(what.to_owned()))
    }
}

pub(super) fn check_shards(shards: u32) -> Result<(), state::ChangeError> {
    if (1..=MAX_SHARDS).contains(&shards) {
        Ok(())
    } else {
        Err(state::ChangeError::OutOfRange(format!("{shards} shards")))
    }
}

pub(super) fn check_limit(limit: u32, what: &str) -> Result<(), state::ChangeError> {
    if (1..=MAX_SERVER_LIMIT).contains(&limit) {
        Ok(())
    } else {
        Err(state::ChangeError::OutOfRange(format!("{limit} {what}")))
    }
}

pub(super) fn sorted_names(names: &[String]) -> Vec<String> {
    let mut names = names.to_vec();
    names.sort_unstable();
    names.dedup();
    names
}
