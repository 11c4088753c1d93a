//! Choice of the index version.

use std::{sync, time};

use crate::{ids, outcome, plan, view};

/// Pins the index version of a search and collects the owners of its shards.
///
/// The newest version whose shards all have a candidate is pinned. If there is
/// none, the version with the best coverage is pinned, provided that the
/// coverage meets the caller's requirement or the caller prefers a partial
/// answer. `_entropy` is part of the signature of every decision function; the
/// choice does not depend on it.
///
/// # Errors
///
/// Returns a [`plan::PlanError`] if the lease has ended, the catalog lacks a
/// name or version, or the reachable coverage is too small.
pub fn plan(
    search: &plan::Search,
    view: &view::View,
    now: time::Instant,
    _entropy: u64,
) -> Result<plan::Plan, plan::PlanError> {
    plan_excluding(search, view, &[], now)
}

/// Like [`plan`], but never pins an excluded version.
pub(crate) fn plan_excluding(
    search: &plan::Search,
    view: &view::View,
    excluded: &[ids::IndexVersion],
    now: time::Instant,
) -> Result<plan::Plan, plan::PlanError> {
    check(search, view, now)?;
    let routes = plan::Routes::collect(view, &search.service, &search.collection);
    pin(search, &routes, excluded)
}

/// Pins one of the versions in `routes`, which are ascending.
pub(super) fn pin(
    search: &plan::Search,
    routes: &[sync::Arc<plan::Routes>],
    excluded: &[ids::IndexVersion],
) -> Result<plan::Plan, plan::PlanError> {
    let allowed = routes.iter().filter(|routes| {
        let version = routes.version();
        search.version.is_none_or(|asked| asked == version) && !excluded.contains(&version)
    });
    let Some(best) = allowed.rev().reduce(better_covered) else {
        let version = search.version.unwrap_or_default();
        return Err(plan::PlanError::UnknownVersion(snapshot(search, version)));
    };
    let snapshot = snapshot(search, best.version());
    let reachable = best.reachable();
    let sufficient = reachable == best.total()
        || reachable > 0 && (search.partial || search.coverage.is_met_by(&best.coverage()));
    if sufficient {
        let routes = sync::Arc::clone(best);
        Ok(plan::Plan { snapshot, routes })
    } else {
        Err(plan::PlanError::Coverage {
            snapshot,
            covered: reachable,
            total: best.total(),
        })
    }
}

/// Checks the lease of this entry VM and the names in the search.
pub(super) fn check(
    search: &plan::Search,
    view: &view::View,
    now: time::Instant,
) -> Result<(), plan::PlanError> {
    if !view.may_act(now) {
        return Err(plan::PlanError::NoLease);
    }
    let collection = view.catalog.collections.get(&search.collection);
    let collection =
        collection.ok_or_else(|| plan::PlanError::UnknownCollection(search.collection.clone()))?;
    if collection.services.binary_search(&search.service).is_err() {
        return Err(plan::PlanError::NotReader {
            collection: search.collection.clone(),
            service: search.service.clone(),
        });
    }
    Ok(())
}

fn snapshot(search: &plan::Search, version: ids::IndexVersion) -> outcome::Snapshot {
    outcome::Snapshot {
        collection: search.collection.clone(),
        version,
    }
}

/// Routes with the greater share of reachable shards; the newer ones if equal.
fn better_covered<'a>(
    newer: &'a sync::Arc<plan::Routes>,
    older: &'a sync::Arc<plan::Routes>,
) -> &'a sync::Arc<plan::Routes> {
    // Shares are compared by cross-multiplication because shard counts differ between versions.
    if older.reachable() * newer.total() > newer.reachable() * older.total() {
        older
    } else {
        newer
    }
}
