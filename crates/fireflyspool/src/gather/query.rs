//! Life cycle of a search.

/// Search in one state of its life cycle: [`super::Planned`], [`super::Running`]
/// or [`super::Finished`].
///
/// A transition consumes the query, so a finished one can neither send nor
/// finish again.
#[derive(Clone, Debug)]
pub struct Query<S> {
    pub(super) state: S,
}
