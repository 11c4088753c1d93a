//! Views, searches and replies for tests of planning, coordination and admission.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses a part of it"
)]

mod random;

use std::{net, sync, time};

use fireflyspool::{backend, dispatch, gather, ids, outcome, peak, plan, sorted, state, view};

pub(crate) use random::{Choices, SplitMix64, fuzz, fuzz_runs};

pub(crate) const COLLECTION: &str = "dossiers";
pub(crate) const SERVICE: &str = "intake-desk";

pub(crate) fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

pub(crate) fn address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Catalog with one collection; `versions` holds pairs of version and shard count.
pub(crate) fn catalog(versions: &[(u64, u32)]) -> state::Catalog {
    let mut catalog = state::Catalog::default();
    let service = state::Change::DefineService {
        service: SERVICE.into(),
        slots: 2,
        connections: 55,
        setup: millis(6),
    };
    catalog.apply(&service).expect("defines the service");
    for (number, (version, shards)) in versions.iter().enumerate() {
        let (collection, version, shards) = (COLLECTION.into(), *version, *shards);
        let services = vec![SERVICE.into()];
        let change = if number == 0 {
            state::Change::CreateCollection {
                collection,
                version,
                shards,
                services,
            }
        } else {
            state::Change::AddVersion {
                collection,
                version,
                shards,
            }
        };
        catalog.apply(&change).expect("adds the version");
    }
    catalog
}

pub(crate) fn apply_change(view: &mut view::View, change: &state::Change) {
    let catalog = sync::Arc::make_mut(&mut view.catalog);
    catalog.apply(change).expect("fits the catalog");
}

pub(crate) fn set_value(view: &mut view::View, key: state::ConfigKey, number: u64) {
    let (key, value) = (key.name().into(), number.to_string());
    apply_change(view, &state::Change::SetValue { key, value });
}

pub(crate) fn take_out_zone(view: &mut view::View, zone: &str) {
    let zone = zone.into();
    apply_change(view, &state::Change::TakeOutZone { zone });
}

/// View of VM 1 with members 1 to `owners`, a lease of one hour and no backend servers.
pub(crate) fn view(catalog: state::Catalog, owners: u64, now: time::Instant) -> view::View {
    let mut view = view::View::empty(1);
    view.lease_until = Some(now + millis(3_600_000));
    view.catalog = sync::Arc::new(catalog);
    let members = (1..=owners).map(|node| {
        let zone = format!("z{}", node % 3);
        let member = view::Member {
            node,
            incarnation: 1,
            zone,
            http: address(),
            rpc: address(),
            leaving: false,
            load: 0,
        };
        (node, member)
    });
    view.members = sync::Arc::new(members.collect());
    view
}

/// Adds a ready backend server that hosts these pairs of version and shard; returns its name.
pub(crate) fn add_server(
    view: &mut view::View,
    owner: ids::NodeId,
    shards: &[(u64, u32)],
) -> String {
    let servers = sync::Arc::make_mut(&mut view.servers);
    let server = format!("s{:04}", servers.len());
    let mut hosted: Vec<_> = shards
        .iter()
        .map(|(version, shard)| backend::HostedShard {
            collection: COLLECTION.into(),
            version: *version,
            shard: *shard,
        })
        .collect();
    hosted.sort();
    let announcement = backend::Announcement {
        server: server.clone(),
        incarnation: 1,
        sequence: 1,
        service: SERVICE.into(),
        zone: format!("z{}", owner % 3),
        address: address(),
        slots: 2,
        connections: 55,
        phase: backend::Phase::Ready,
        hosted,
        load: backend::Load::default(),
    };
    let record = view::ServerRecord {
        announcement,
        owner: Some(owner),
    };
    servers.insert(server.clone(), record);
    server
}

/// View in which every shard of every version has this many replicas at distinct owners.
pub(crate) fn full_view(
    versions: &[(u64, u32)],
    owners: u64,
    replicas: u64,
    now: time::Instant,
) -> view::View {
    let mut view = view(catalog(versions), owners, now);
    let shards = versions
        .iter()
        .map(|(_, shards)| *shards)
        .max()
        .unwrap_or(0);
    for shard in 0..shards {
        let hosted: Vec<_> = versions
            .iter()
            .filter(|(_, shards)| shard < *shards)
            .map(|(version, _)| (*version, shard))
            .collect();
        for replica in 0..replicas {
            let owner = 1 + (u64::from(shard) + replica * owners / replicas) % owners;
            add_server(&mut view, owner, &hosted);
        }
    }
    view
}

pub(crate) fn search(request: &str) -> plan::Search {
    plan::Search {
        request: request.into(),
        collection: COLLECTION.into(),
        service: SERVICE.into(),
        text: "prior awards".into(),
        kind: outcome::Kind::Interactive,
        deadline: millis(200),
        coverage: outcome::RequiredCoverage::Full,
        version: None,
        limit: 10,
        partial: false,
    }
}

pub(crate) fn budgets(now: time::Instant) -> gather::Budgets {
    let wall = time::SystemTime::UNIX_EPOCH + millis(1_800_000_000_000);
    gather::Budgets::new(7, peak::PeakMeter::new(wall, now))
}

/// Hit whose id names the version and shard that it comes from.
pub(crate) fn hit(version: u64, shard: u32, number: u32) -> outcome::Hit {
    let score = f64::from((shard * 7 + number * 13) % 101);
    outcome::Hit {
        id: format!("{version}/{shard}/{number}"),
        score,
        shard: 0,
    }
}

/// Sub-requests that the actions send, with their owners.
pub(crate) fn dispatched(actions: &[gather::Action]) -> Vec<(ids::NodeId, dispatch::SubRequest)> {
    let mut list = Vec::new();
    for action in actions {
        if let gather::Action::Dispatch { owner, subs } = action {
            list.extend(subs.iter().map(|sub| (*owner, sub.clone())));
        }
    }
    list
}

/// Outcome that the actions report.
pub(crate) fn finished(actions: &[gather::Action]) -> Option<outcome::Outcome> {
    actions.iter().find_map(|action| match action {
        gather::Action::Finish(outcome) => Some(outcome.clone()),
        _ => None,
    })
}

pub(crate) fn not_run(cause: dispatch::SkipCause) -> dispatch::SubOutcome {
    let retry_after = Some(millis(40));
    dispatch::SubOutcome::NotRun { cause, retry_after }
}

/// Failure that names this server; none if it is empty.
pub(crate) fn failed(server: &str, cause: dispatch::FailureCause) -> dispatch::SubOutcome {
    let server = (!server.is_empty()).then(|| server.to_owned());
    dispatch::SubOutcome::Failed { server, cause }
}

pub(crate) fn answered(hits: Vec<outcome::Hit>, queued: u32) -> dispatch::SubOutcome {
    dispatch::SubOutcome::Answered {
        server: "s".into(),
        hits,
        service_time: millis(5),
        queued,
    }
}

pub(crate) fn replied(
    sub: ids::SubRequestId,
    owner: ids::NodeId,
    outcome: dispatch::SubOutcome,
) -> gather::Event {
    gather::Event::Replied {
        sub,
        owner,
        outcome,
    }
}

/// Sorted map for oracles.
pub(crate) type Map<K, V> = sorted::SortedMap<K, V>;
