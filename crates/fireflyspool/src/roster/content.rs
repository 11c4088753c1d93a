//! Comparison of announcements.

use crate::backend;

/// Whether two announcements differ only in sequence and load, which are not published.
pub(crate) fn has_same_content(
    before: &backend::Announcement,
    after: &backend::Announcement,
) -> bool {
    before.incarnation == after.incarnation
        && before.phase == after.phase
        && before.hosted == after.hosted
        && before.address == after.address
        && before.slots == after.slots
        && before.connections == after.connections
        && before.service == after.service
        && before.zone == after.zone
}

/// Whether an announcement belongs to an older incarnation than a known one, or to the
/// same one before it was leaving.
pub(crate) fn is_outdated(
    known: &backend::Announcement,
    announcement: &backend::Announcement,
) -> bool {
    let no_longer_leaving =
        known.phase == backend::Phase::Leaving && announcement.phase != backend::Phase::Leaving;
    announcement.incarnation < known.incarnation
        || (announcement.incarnation == known.incarnation && no_longer_leaving)
}
