//! Oracle of one query: tracks what was sent and what ran, and checks actions and outcome.

mod ending;

use std::time;

use super::query_fixture;
use fireflyspool::{dispatch, gather, ids, outcome, plan};

/// What happened to one sub-request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SubState {
    Open,
    Cancelled,
    Answered(Vec<outcome::Hit>),
    NotRun,
    Failed(Option<String>),
}

#[derive(Clone, Debug)]
pub(crate) struct SentSub {
    pub(crate) owner: ids::NodeId,
    pub(crate) request: dispatch::SubRequest,
    pub(crate) version: u64,
    pub(crate) shard: u32,
    pub(crate) state: SubState,
    pub(crate) probe: bool,
}

pub(crate) struct Oracle {
    pub(crate) search: plan::Search,
    pub(crate) received: time::Instant,
    /// Shard counts of the catalog.
    pub(crate) shards: Vec<(u64, u32)>,
    pub(crate) version: u64,
    pub(crate) sent: Vec<SentSub>,
    pub(crate) outcome: Option<outcome::Outcome>,
    /// Whether an attempt was reset and no attempt has cleared the request since.
    suspicion: bool,
    /// Whether a probe, or another attempt for a shard with a reset, was answered.
    cleared: bool,
    /// Version and shard of every reset attempt.
    resets: Vec<(u64, u32)>,
    pub(crate) hedges: u64,
    pub(crate) first_attempts: u64,
}

impl Oracle {
    pub(crate) fn new(
        search: plan::Search,
        version: u64,
        shards: Vec<(u64, u32)>,
        received: time::Instant,
    ) -> Self {
        Self {
            search,
            received,
            shards,
            version,
            sent: Vec::new(),
            outcome: None,
            suspicion: false,
            cleared: false,
            resets: Vec::new(),
            hedges: 0,
            first_attempts: 0,
        }
    }

    /// Records a reply before the coordinator handles it; ignores one that it must drop.
    pub(crate) fn reply(
        &mut self,
        sub: ids::SubRequestId,
        owner: ids::NodeId,
        outcome: &dispatch::SubOutcome,
    ) {
        let finished = self.outcome.is_some();
        let found = self
            .sent
            .iter_mut()
            .find(|sent| sent.request.sub == sub && sent.owner == owner);
        let Some(sent) = found.filter(|sent| sent.state == SubState::Open && !finished) else {
            return;
        };
        sent.state = match outcome {
            dispatch::SubOutcome::Answered { hits, .. } => {
                let mut hits = hits.clone();
                hits.iter_mut().for_each(|hit| hit.shard = sent.shard);
                let reset = self.resets.contains(&(sent.version, sent.shard));
                self.cleared |= reset || sent.probe;
                self.suspicion &= !self.cleared;
                SubState::Answered(hits)
            }
            dispatch::SubOutcome::NotRun { .. } => SubState::NotRun,
            dispatch::SubOutcome::Failed { server, cause } => {
                if *cause == dispatch::FailureCause::Reset {
                    self.suspicion |= !self.cleared;
                    self.resets.push((sent.version, sent.shard));
                }
                SubState::Failed(server.clone())
            }
            dispatch::SubOutcome::Submitted { server, .. } => {
                SubState::Failed(Some(server.clone()))
            }
        };
    }

    pub(crate) fn owner_lost(&mut self, owner: ids::NodeId) {
        for sent in &mut self.sent {
            if sent.owner == owner && sent.state == SubState::Open {
                sent.state = SubState::Failed(None);
            }
        }
    }

    /// Checks what the coordinator did in response to one event.
    pub(crate) fn check(&mut self, actions: &[gather::Action], now: time::Instant) {
        let finished = self.outcome.is_some();
        assert!(
            actions.is_empty() || !finished,
            "actions after the end: {actions:?}"
        );
        for action in actions {
            assert!(self.outcome.is_none(), "actions after the end");
            match action {
                gather::Action::Cancel { owner, subs } => {
                    for sub in subs {
                        let mut list = self.sent.iter_mut();
                        let sent = list
                            .find(|sent| sent.request.sub == *sub)
                            .expect("was sent");
                        assert_eq!((sent.owner, &sent.state), (*owner, &SubState::Open));
                        sent.state = SubState::Cancelled;
                    }
                }
                gather::Action::Dispatch { owner, subs } => {
                    for sub in subs {
                        self.dispatch(*owner, sub, now);
                    }
                }
                gather::Action::Finish(outcome) => self.finish(outcome, now),
                gather::Action::Warn { servers, .. } => {
                    assert!(servers.len() > 1, "warned after a single reset");
                }
                gather::Action::Log(_) => {}
            }
        }
        for (position, sent) in self.sent.iter().enumerate() {
            let covered = self.answers().any(|other| other.shard == sent.shard);
            let obsolete = sent.version != self.version || self.outcome.is_some() || covered;
            assert!(
                !obsolete || sent.state != SubState::Open,
                "{position} was not cancelled"
            );
        }
    }

    fn dispatch(&mut self, owner: ids::NodeId, sub: &dispatch::SubRequest, now: time::Instant) {
        let dispatch::Work::Search {
            snapshot, shard, ..
        } = &sub.work
        else {
            panic!("not a search");
        };
        assert_eq!(sub.request, self.search.request);
        assert!(now + sub.remaining <= self.received + self.search.deadline);
        if snapshot.version != self.version {
            let under_way = self.sent.iter().filter(|sent| sent.state == SubState::Open);
            assert_eq!(under_way.count(), 0, "attempts of two versions under way");
            assert!(
                self.sent
                    .iter()
                    .all(|sent| sent.version != snapshot.version)
            );
            assert_eq!(
                self.search.version, None,
                "left the version that was asked for"
            );
            self.version = snapshot.version;
        }
        let same_shard = |sent: &&SentSub| sent.version == snapshot.version && sent.shard == *shard;
        let under_way: Vec<_> = self
            .sent
            .iter()
            .filter(same_shard)
            .filter(|sent| sent.state == SubState::Open)
            .collect();
        if sub.hedge {
            self.hedges += 1;
            assert_eq!(under_way.len(), 1, "a hedge needs one attempt under way");
            assert_ne!(under_way[0].owner, owner, "hedge at the same owner");
            let hedged = self
                .sent
                .iter()
                .filter(same_shard)
                .any(|sent| sent.request.hedge);
            assert!(!hedged, "two hedges for one shard");
            assert_ne!(self.search.kind, outcome::Kind::Deferrable);
            assert!(!self.suspicion, "hedge under suspicion");
        } else {
            assert!(under_way.is_empty(), "two attempts without a hedge");
        }
        let tried: Vec<_> = self.sent.iter().filter(same_shard).collect();
        self.first_attempts += u64::from(tried.is_empty());
        for failed in &tried {
            if let SubState::Failed(Some(server)) = &failed.state {
                assert!(sub.excluded.contains(server), "{server} is not excluded");
            }
        }
        let after_failure = tried
            .iter()
            .any(|sent| matches!(sent.state, SubState::Failed(_)));
        let resets = self
            .resets
            .iter()
            .filter(|reset| **reset == (snapshot.version, *shard));
        assert!(resets.count() < 2, "sent again after two resets");
        let probe = self.suspicion && after_failure;
        if probe {
            let probes = self.sent.iter().filter(|sent| sent.probe);
            let open = probes
                .filter(|sent| !matches!(sent.state, SubState::NotRun | SubState::Answered(_)));
            assert_eq!(open.count(), 0, "a second probe of a suspect request");
        }
        assert!(
            self.sent.iter().all(|sent| sent.request.sub != sub.sub),
            "sub-request number used twice"
        );
        self.sent.push(SentSub {
            owner,
            request: sub.clone(),
            version: snapshot.version,
            shard: *shard,
            state: SubState::Open,
            probe,
        });
    }
}

/// Hits that a backend server returns for a shard of a version.
pub(crate) fn hits(version: u64, shard: u32) -> Vec<outcome::Hit> {
    (0..4)
        .map(|number| query_fixture::hit(version, shard, number))
        .collect()
}
