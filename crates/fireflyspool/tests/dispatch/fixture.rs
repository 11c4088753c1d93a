//! Views, sub-requests and replies for tests.

use std::{net, sync, time};

use fireflyspool::{backend, dispatch, outcome, sorted, state, view};

/// Number of the owner VM under test.
pub(crate) const NODE: u64 = 7;

/// Service under test.
pub(crate) const SERVICE: &str = "intake-desk";

/// Snapshot of all searches.
pub(crate) fn snapshot() -> outcome::Snapshot {
    outcome::Snapshot {
        collection: "awards".to_owned(),
        version: 3,
    }
}

/// Shard of that snapshot.
pub(crate) fn hosted(shard: u32) -> backend::HostedShard {
    backend::HostedShard {
        collection: "awards".to_owned(),
        version: 3,
        shard,
    }
}

/// Record of a ready server that this VM owns.
pub(crate) fn record(name: &str, zone: u32, slots: u32, shards: &[u32]) -> view::ServerRecord {
    view::ServerRecord {
        announcement: backend::Announcement {
            server: name.to_owned(),
            incarnation: 1,
            sequence: 1,
            service: SERVICE.to_owned(),
            zone: format!("zone-{zone}"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 9_000)),
            slots,
            connections: 55,
            phase: backend::Phase::Ready,
            hosted: shards.iter().copied().map(hosted).collect(),
            load: backend::Load::default(),
        },
        owner: Some(NODE),
    }
}

/// View with these servers and a lease.
pub(crate) fn view(records: Vec<view::ServerRecord>, lease_until: time::Instant) -> view::View {
    let entries = records.into_iter();
    let entries = entries.map(|record| (record.announcement.server.clone(), record));
    let mut view = view::View::empty(NODE);
    view.lease_until = Some(lease_until);
    view.servers = sync::Arc::new(entries.collect::<sorted::SortedMap<_, _>>());
    let mut catalog = state::Catalog::default();
    let service = state::Service {
        slots: 100,
        connections: 55,
        setup: time::Duration::from_millis(6),
    };
    catalog.services.insert(SERVICE.to_owned(), service);
    view.catalog = sync::Arc::new(catalog);
    view
}

/// Search of one shard, coordinated by another VM.
pub(crate) fn search(sub: u64, shard: u32, remaining: time::Duration) -> dispatch::SubRequest {
    dispatch::SubRequest {
        sub,
        coordinator: 1,
        incarnation: 11,
        request: format!("request-{sub}"),
        fingerprint: 1_000 + sub,
        service: SERVICE.to_owned(),
        kind: outcome::Kind::Interactive,
        hedge: false,
        remaining,
        excluded: Vec::new(),
        work: dispatch::Work::Search {
            snapshot: snapshot(),
            shard,
            text: "prior awards".to_owned(),
            limit: 10,
        },
    }
}

/// Submission, coordinated by another VM.
pub(crate) fn submission(sub: u64, remaining: time::Duration) -> dispatch::SubRequest {
    dispatch::SubRequest {
        work: dispatch::Work::Submit {
            payload: format!("payload-{sub}"),
        },
        ..search(sub, 0, remaining)
    }
}

/// Correct reply to a search.
pub(crate) fn reply(request: &backend::SearchRequest, incarnation: u64) -> backend::SearchReply {
    backend::SearchReply {
        attempt: request.attempt,
        incarnation,
        version: request.version,
        shard: request.shard,
        hits: vec![outcome::Hit {
            id: format!("{}/{}", request.request, request.shard),
            score: 1.0,
            shard: request.shard,
        }],
        load: backend::Load::default(),
    }
}
