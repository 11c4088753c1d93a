//! Calls to the leader of the control group.

use std::{net, sync, time};

use tokio::sync::oneshot;

use crate::{control, ids, language, rim, state, traffic};

/// Time for one call to one control VM.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time for a command, an election in between included.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Pause before the control VMs are asked again while none of them leads.
const ELECTION_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Finds the leader and follows it when it changes.
///
/// Commands and claims are idempotent by their ids, so a call whose answer was
/// lost is repeated at the next leader and gets the recorded result.
pub struct ControlClient {
    shared: sync::Arc<traffic::Shared>,
    peers: sync::Arc<rim::Peers>,
    last: sync::atomic::AtomicU64,
}

/// Result of asking one control VM.
enum Asked<T> {
    Answer(T),
    NotLeader,
    Lost,
}

impl ControlClient {
    /// A client that knows the control VMs of the settings.
    pub fn new(shared: sync::Arc<traffic::Shared>, peers: sync::Arc<rim::Peers>) -> Self {
        Self {
            shared,
            peers,
            last: sync::atomic::AtomicU64::new(0),
        }
    }

    /// Proposes a command; `None` if no leader decided it in time.
    ///
    /// The flag tells whether the command may have been accepted all the same.
    pub async fn propose(&self, command: &state::Command) -> Result<control::ProposeReply, bool> {
        self.ask(
            rim::Method::Propose,
            command,
            |reply: control::ProposeReply| match reply {
                control::ProposeReply::NotLeader { .. } => Asked::NotLeader,
                control::ProposeReply::Uncertain => Asked::Lost,
                decided => Asked::Answer(decided),
            },
        )
        .await
    }

    /// Claims the id of a non-idempotent request.
    ///
    /// # Errors
    ///
    /// Returns whether the claim may have been recorded.
    pub async fn open_claim(&self, claim: &state::Claim) -> Result<state::ClaimReply, bool> {
        self.ask(rim::Method::OpenClaim, claim, some_or_next).await
    }

    /// Records the outcome of a claimed request.
    ///
    /// # Errors
    ///
    /// Returns whether the outcome may have been recorded.
    pub async fn record_claim(&self, outcome: &state::ClaimOutcome) -> Result<(), bool> {
        self.ask(rim::Method::RecordClaim, outcome, done_or_next)
            .await
    }

    /// Waits until a revision is in force everywhere; false if that could not be learnt.
    pub async fn await_in_force(&self, revision: ids::Revision) -> bool {
        self.ask(rim::Method::AwaitInForce, &revision, done_or_next)
            .await
            .is_ok()
    }

    /// Reads part of the control state at the leader.
    pub async fn show(&self, show: language::Show) -> Option<control::Table> {
        self.ask(rim::Method::Show, &show.name(), some_or_next)
            .await
            .ok()
    }

    async fn ask<P, R, T>(
        &self,
        method: rim::Method,
        parameter: &P,
        judge: impl Fn(R) -> Asked<T>,
    ) -> Result<T, bool>
    where
        P: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let started = time::Instant::now();
        let mut lost = false;
        while started.elapsed() < COMMAND_TIMEOUT {
            for (node, address) in self.candidates() {
                let peer = self.peers.get(node, address);
                match peer.call(method, parameter, CALL_TIMEOUT).await.map(&judge) {
                    Ok(Asked::Answer(answer)) => {
                        self.last.store(node, sync::atomic::Ordering::Relaxed);
                        return Ok(answer);
                    }
                    Ok(Asked::NotLeader) => {}
                    Ok(Asked::Lost) => lost = true,
                    Err(error) => lost |= error.may_have_arrived(),
                }
            }
            self.pause().await;
        }
        Err(lost)
    }

    /// Control VMs, the one that answered last first.
    fn candidates(&self) -> Vec<(ids::NodeId, net::SocketAddr)> {
        let last = self.last.load(sync::atomic::Ordering::Relaxed);
        let mut candidates = self.shared.control_addresses();
        candidates.sort_by_key(|(node, _)| (*node != last, *node));
        candidates
    }

    async fn pause(&self) {
        let (sender, receiver) = oneshot::channel();
        let at = time::Instant::now() + ELECTION_PAUSE;
        self.shared.timer.subscribe(at, move || {
            // The waiting task may have been cancelled.
            let _ = sender.send(());
        });
        let _ = receiver.await;
    }
}

/// A flag, because an absent value and a unit value look alike in JSON.
fn done_or_next(done: bool) -> Asked<()> {
    if done {
        Asked::Answer(())
    } else {
        Asked::NotLeader
    }
}

fn some_or_next<T>(reply: Option<T>) -> Asked<T> {
    match reply {
        Some(answer) => Asked::Answer(answer),
        None => Asked::NotLeader,
    }
}
