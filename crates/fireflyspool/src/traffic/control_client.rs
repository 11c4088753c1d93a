//! Calls to the leader of the control group.

use std::{net, sync, time};

use tokio::sync::oneshot;

use crate::{control, ids, language, rim, state, traffic};

/// Timeout of one call to one control VM.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time limit of a command over all retries, long enough to outlast an election.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Delay between rounds of retries while no control VM is the leader.
const ELECTION_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Sends calls to the current leader of the control group.
///
/// Commands and claims are idempotent by their ids: a call whose answer was lost
/// is retried at the next leader and returns the recorded result.
pub struct ControlClient {
    shared: sync::Arc<traffic::Shared>,
    peers: sync::Arc<rim::Peers>,
    last: sync::atomic::AtomicU64,
}

/// Result of a call to one control VM.
enum CallResult<T> {
    Answer(T),
    NotLeader,
    Lost,
}

impl ControlClient {
    /// Creates a client for the control VMs of the settings.
    pub fn new(shared: sync::Arc<traffic::Shared>, peers: sync::Arc<rim::Peers>) -> Self {
        Self {
            shared,
            peers,
            last: sync::atomic::AtomicU64::new(0),
        }
    }

    /// Proposes a command.
    ///
    /// # Errors
    ///
    /// If no leader decided the command in time, returns whether it may still
    /// have been accepted.
    pub async fn propose(&self, command: &state::Command) -> Result<control::ProposeReply, bool> {
        self.call_leader(
            rim::Method::Propose,
            command,
            |reply: control::ProposeReply| match reply {
                control::ProposeReply::NotLeader { .. } => CallResult::NotLeader,
                control::ProposeReply::Uncertain => CallResult::Lost,
                decided => CallResult::Answer(decided),
            },
        )
        .await
    }

    /// Claims the id of a non-idempotent request.
    ///
    /// # Errors
    ///
    /// If no leader answered in time, returns whether the claim may have been recorded.
    pub async fn open_claim(&self, claim: &state::Claim) -> Result<state::ClaimReply, bool> {
        self.call_leader(rim::Method::OpenClaim, claim, option_result)
            .await
    }

    /// Records the outcome of a claimed request.
    ///
    /// # Errors
    ///
    /// If no leader answered in time, returns whether the outcome may have been recorded.
    pub async fn record_claim(&self, outcome: &state::ClaimOutcome) -> Result<(), bool> {
        self.call_leader(rim::Method::RecordClaim, outcome, flag_result)
            .await
    }

    /// Waits until a revision is in force everywhere; false if no leader confirmed it.
    pub async fn await_in_force(&self, revision: ids::Revision) -> bool {
        self.call_leader(rim::Method::AwaitInForce, &revision, flag_result)
            .await
            .is_ok()
    }

    /// Reads part of the control state from the leader; `None` if none answered in time.
    pub async fn show(&self, show: language::Show) -> Option<control::Table> {
        self.call_leader(rim::Method::Show, &show.name(), option_result)
            .await
            .ok()
    }

    async fn call_leader<P, R, T>(
        &self,
        method: rim::Method,
        parameter: &P,
        classify: impl Fn(R) -> CallResult<T>,
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
                match peer
                    .call(method, parameter, CALL_TIMEOUT)
                    .await
                    .map(&classify)
                {
                    Ok(CallResult::Answer(answer)) => {
                        self.last.store(node, sync::atomic::Ordering::Relaxed);
                        return Ok(answer);
                    }
                    Ok(CallResult::NotLeader) => {}
                    Ok(CallResult::Lost) => lost = true,
                    Err(error) => lost |= error.may_have_arrived(),
                }
            }
            self.pause().await;
        }
        Err(lost)
    }

    /// Control VMs, starting with the one that answered last.
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

/// Takes a flag because JSON encodes `None` and `Some(())` alike.
fn flag_result(done: bool) -> CallResult<()> {
    if done {
        CallResult::Answer(())
    } else {
        CallResult::NotLeader
    }
}

fn option_result<T>(reply: Option<T>) -> CallResult<T> {
    match reply {
        Some(answer) => CallResult::Answer(answer),
        None => CallResult::NotLeader,
    }
}
