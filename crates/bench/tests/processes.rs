//! Failures of real processes: kills, freezes, lost disks and graceful stops.
//!
//! Each test starts a site of its own on ephemeral loopback ports and waits on
//! conditions, never on time alone.

mod site;

use std::{net, time::Duration};

use fireflyspool::{outcome, state, traffic};

const SEARCH: &str = "search dossiers through desk for \"lamp\" within 2s";
const ZONES: [&str; 3] = ["a", "b", "c"];

fn is_complete(outcome: &outcome::Outcome) -> bool {
    matches!(outcome, outcome::Outcome::Complete(_))
}

/// Guards against the loss of an accepted command when its leader dies, and
/// against a resend that is applied twice.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_commands_survive_a_killed_leader() {
    let mut site = site::Site::start(3, &ZONES).await;
    let first = site
        .accept("define service one slots 2 connections 10")
        .await;
    let leader = site.leader().await;
    site.kill(leader);
    let second = site
        .accept("define service two slots 2 connections 10")
        .await;
    assert_eq!(second, first + 1);
    site.start_vm(leader);
    site.until("the restarted VM to answer", async |site| {
        site.command_at(leader, "show", 0, "show services", false).await.is_ok_and(|outcome| {
            matches!(outcome, traffic::CommandOutcome::Shown { table } if table.rows.len() == 2)
        })
    })
    .await;
    for vm in 1..=3 {
        let resent = "define service one slots 2 connections 10";
        let outcome = site
            .command_at(vm, "test", 1, resent, false)
            .await
            .expect("an answer");
        let accepted = state::Receipt::Accepted { revision: first };
        let expected = traffic::CommandOutcome::Decided {
            receipt: accepted,
            in_force: false,
        };
        assert_eq!(outcome, expected);
    }
    let history = site.show("history").await.expect("a leader");
    assert_eq!(history.rows.len(), 2);
}

/// A VM found its port in use: the harness had closed it after the look whether it was free,
/// and something else had bound it before the VM did.
#[tokio::test(flavor = "multi_thread")]
async fn a_site_starts_although_others_hold_its_ports() {
    let site = site::Site::start_after(3, &ZONES, |listeners| {
        let ports = listeners.iter().map(net::SocketAddr::port);
        let held = ports.map(|port| net::TcpListener::bind(("127.0.0.1", port)));
        held.collect::<Vec<_>>()
    })
    .await;
    assert!(site.show("members").await.is_some());
}

/// Guards against a frozen entry VM that acts on a configuration which was
/// replaced while it was stopped, before it has heard of the new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_thawed_entry_vm_sends_nothing_to_a_zone_taken_out() {
    let mut site = site::Site::start(4, &["a", "c", "c", "b"]).await;
    site.start_searchers(&["a", "b"], 2, "").await;
    assert!(is_complete(
        &site.query_at(4, SEARCH).await.expect("an answer")
    ));
    // VM 4 is the only one of zone b, so it owns the backend servers there.
    site.signal(4, "STOP");
    site.accept("take out zone b").await;
    let before = site.runs("b").await;
    // With the control VMs stopped, VM 4 cannot learn of the change.
    for vm in 1..=3 {
        site.signal(vm, "STOP");
    }
    site.signal(4, "CONT");
    for _ in 0..10 {
        let outcome = site.query_at(4, SEARCH).await.expect("an answer");
        let outcome::Outcome::NotRun(refusal) = outcome else {
            panic!("{outcome:?}")
        };
        assert_eq!(refusal.reason, outcome::RefusalReason::NoLease);
    }
    for vm in 1..=3 {
        site.signal(vm, "CONT");
    }
    site.until("VM 4 to serve again", async |site| {
        site.query_at(4, SEARCH)
            .await
            .is_ok_and(|outcome| is_complete(&outcome))
    })
    .await;
    assert_eq!(site.runs("b").await, before);
}

/// Guards against a submission that runs twice because its entry VM died
/// between dispatch and answer and its caller sent it again elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_runs_once_when_its_entry_vm_dies() {
    let mut site = site::Site::start(4, &ZONES).await;
    site.start_searchers(&["a"], 1, ", service_time: 1500ms")
        .await;
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let request = format!("{}-grant", since.expect("a clock").as_millis());
    let statement = format!("submit to desk id {request} body \"award\" within 4s");
    let sent = async {
        let _ = site.query_at(4, &statement).await;
    };
    let started = async {
        site.until("the submission to run", async |site| {
            site.runs("a").await == 1
        })
        .await;
    };
    tokio::select! {
        () = sent => panic!("the submission ended before its VM was killed"),
        () = started => {}
    }
    site.kill(4);
    for vm in 1..=3 {
        let outcome = site.query_at(vm, &statement).await.expect("an answer");
        assert!(
            matches!(outcome, outcome::Outcome::Unknown { .. }),
            "{outcome:?}"
        );
    }
    let counters = site.counters("a").await;
    assert_eq!(counters[0].submissions.get(&request), Some(&1));
}

/// Guards against a resend that is not answered with the recorded receipt.
#[tokio::test(flavor = "multi_thread")]
async fn a_resent_submission_gets_the_recorded_receipt() {
    let mut site = site::Site::start(3, &ZONES).await;
    site.start_searchers(&["a"], 1, "").await;
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let request = format!("{}-grant", since.expect("a clock").as_millis());
    let statement = format!("submit to desk id {request} body \"award\" within 4s");
    let first = site.query_at(1, &statement).await.expect("an answer");
    let outcome::Outcome::Submitted { receipt, .. } = first else {
        panic!("{first:?}")
    };
    let leader = site.leader().await;
    site.kill(leader);
    let other = site.running()[0];
    let second = site.query_at(other, &statement).await.expect("an answer");
    let expected = outcome::Outcome::Known {
        request: request.clone(),
        receipt,
    };
    assert_eq!(second, expected);
    let changed = statement.replace("award", "other award");
    let third = site.query_at(other, &changed).await.expect("an answer");
    let outcome::Outcome::NotRun(refusal) = third else {
        panic!("{third:?}")
    };
    assert_eq!(refusal.reason, outcome::RefusalReason::Conflict);
    assert_eq!(
        site.counters("a").await[0].submissions.get(&request),
        Some(&1)
    );
}

/// Guards against a control VM that lost its disk and votes again under its
/// old number.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_vm_without_its_disk_has_no_vote() {
    let mut site = site::Site::start(3, &ZONES).await;
    site.accept("define service one slots 2 connections 10")
        .await;
    site.kill(3);
    std::fs::remove_dir_all(site.data(3)).expect("a data folder");
    site.start_vm(3);
    assert_ne!(
        site.ended(3).await,
        Some(0),
        "an empty data folder must be refused"
    );
    assert!(site.init(3, false).success());
    site.start_vm(3);
    site.kill(2);
    let outcome = site
        .command_at(1, "test", 99, "take out zone a", false)
        .await;
    let decided = matches!(outcome, Ok(traffic::CommandOutcome::Decided { .. }));
    assert!(!decided, "one of three members decided: {outcome:?}");
    site.start_vm(2);
    let number = site
        .accept("define service two slots 2 connections 10")
        .await;
    let history = site.show("history").await.expect("a leader");
    assert_eq!(history.rows.len() as u64, number);
}

/// Guards against the loss of accepted commands when a second control VM is
/// lost right after the first was replaced.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut site = site::Site::start(4, &ZONES).await;
    for number in 0..20 {
        site.accept(&format!("define service s{number} slots 2 connections 10"))
            .await;
    }
    site.kill(3);
    site.kill(4);
    site.make_control(4);
    std::fs::remove_dir_all(site.data(4)).unwrap_or_default();
    assert!(site.init(4, true).success());
    site.start_vm(4);
    let add = format!(
        "add control 4 incarnation {} at {}",
        site.incarnation(4),
        site.rpc(4)
    );
    site.accept(&add).await;
    site.accept("remove control 3").await;
    site.until("the replacement to vote", async |site| {
        let members = site.show("members").await;
        let voters = members.map(|members| {
            members
                .rows
                .iter()
                .filter(|row| row[1] == "voter")
                .map(|row| row[0].clone())
                .collect()
        });
        voters == Some(vec!["1".to_owned(), "2".to_owned(), "4".to_owned()])
    })
    .await;
    let leader = site.leader().await;
    site.kill(if leader == 4 { 1 } else { leader });
    site.accept("define service last slots 2 connections 10")
        .await;
    let history = site.show("history").await.expect("a leader");
    assert_eq!(history.rows.len(), 21);
}

/// Guards against requests that a graceful shutdown cuts short or refuses
/// while callers still hold answers which name the VM.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_no_request_short() {
    let mut site = site::Site::start(4, &ZONES).await;
    site.start_searchers(&ZONES, 2, "").await;
    site.accept("set address-lifetime to 500ms").await;
    for vm in 1..=4 {
        site.signal(vm, "TERM");
        let other = if vm == 1 { 2 } else { 1 };
        let mut asked = 0;
        let ended = async {
            // Callers that keep an answer for its lifetime, as the tier allows.
            while asked < 200 {
                let caller = format!("caller-{asked}");
                let addresses = site.addresses(other, &caller).await;
                let outcome = site.query_address(addresses[0], SEARCH).await;
                let outcome = outcome.expect("an answer");
                assert!(is_complete(&outcome), "while VM {vm} leaves: {outcome:?}");
                asked += 1;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        ended.await;
        assert_eq!(site.ended(vm).await, Some(0), "VM {vm} cut requests short");
        site.start_vm(vm);
        site.until("the VM to serve again", async |site| {
            site.query_at(vm, SEARCH)
                .await
                .is_ok_and(|outcome| is_complete(&outcome))
        })
        .await;
        site.until("all backend servers owned", async |site| {
            site.owned().await == 6
        })
        .await;
    }
}

/// Guards against a request that brings down every backend server in turn,
/// sent again by its caller through other entry VMs.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_contained() {
    let mut site = site::Site::start(3, &ZONES).await;
    let behaviour = ", crash_marker: poison, restart_time: 500ms, cold_time: 0s";
    site.start_searchers(&ZONES, 4, behaviour).await;
    let poison = "search dossiers through desk for \"poison\" within 1s coverage any";
    for _ in 0..5 {
        for vm in 1..=3 {
            let outcome = site.query_at(vm, poison).await.expect("an answer");
            assert!(!is_complete(&outcome), "{outcome:?}");
        }
    }
    let mut crashes = 0;
    for zone in ZONES {
        crashes += site
            .counters(zone)
            .await
            .iter()
            .map(|counters| counters.crashes)
            .sum::<u64>();
    }
    let servers = 12;
    assert!(
        crashes < servers / 2,
        "{crashes} of {servers} backend servers crashed"
    );
    let outcome = site.query_at(1, poison).await.expect("an answer");
    let outcome::Outcome::NotRun(refusal) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(refusal.reason, outcome::RefusalReason::Suspect);
    site.until("other requests to be answered", async |site| {
        site.query_at(2, SEARCH)
            .await
            .is_ok_and(|outcome| is_complete(&outcome))
    })
    .await;
}
