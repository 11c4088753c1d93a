//! Cache of routes.

use std::{sync, time};

use crate::{ids, plan, sorted, state, view};

/// Routes that were collected from one view, shared by all queries that use it.
///
/// [`plan::Routes::collect`] reads only the catalog, the members and the servers
/// of the view, so the routes stay valid until one of these three is replaced.
#[derive(Debug, Default)]
pub struct RouteCache {
    source: Option<ViewParts>,
    routes: sorted::SortedMap<Key, Vec<sync::Arc<plan::Routes>>>,
}

type Key = (ids::CollectionName, ids::ServiceName);

/// Parts of a view that routes depend on.
#[derive(Debug)]
struct ViewParts {
    catalog: sync::Arc<state::Catalog>,
    members: sync::Arc<sorted::SortedMap<ids::NodeId, view::Member>>,
    servers: sync::Arc<sorted::SortedMap<ids::ServerName, view::ServerRecord>>,
}

impl RouteCache {
    /// An empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Plans like [`plan::plan`], with routes that are collected once per view.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`plan::plan`].
    pub fn plan(
        &mut self,
        search: &plan::Search,
        view: &view::View,
        now: time::Instant,
        _entropy: u64,
    ) -> Result<plan::Plan, plan::PlanError> {
        plan::pin::check(search, view, now)?;
        if !self
            .source
            .as_ref()
            .is_some_and(|source| source.matches(view))
        {
            self.routes.clear();
            self.source = Some(ViewParts::of(view));
        }
        let key = (search.collection.clone(), search.service.clone());
        let collect = || plan::Routes::collect(view, &search.service, &search.collection);
        let routes = self.routes.get_or_insert_with(key, collect);
        plan::pin::pin(search, routes, &[])
    }
}

impl ViewParts {
    fn of(view: &view::View) -> Self {
        Self {
            catalog: sync::Arc::clone(&view.catalog),
            members: sync::Arc::clone(&view.members),
            servers: sync::Arc::clone(&view.servers),
        }
    }

    fn matches(&self, view: &view::View) -> bool {
        sync::Arc::ptr_eq(&self.catalog, &view.catalog)
            && sync::Arc::ptr_eq(&self.members, &view.members)
            && sync::Arc::ptr_eq(&self.servers, &view.servers)
    }
}
