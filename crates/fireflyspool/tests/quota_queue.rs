//! Requests of one entry VM that wait for tokens.

use std::{net, time};

use fireflyspool::{configuration, ids, quota};

const OBJECTIVE: time::Duration = time::Duration::from_millis(150);

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

fn hub(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, number], 1))
}

fn account(name: &str) -> configuration::Account {
    configuration::Account {
        name: name.to_owned(),
        keys: Vec::new(),
        priority: None,
        rate: 10.0,
        burst: 10.0,
    }
}

fn ask(name: &str, count: u32, returned: u32) -> quota::Ask {
    let account = name.to_owned();
    quota::Ask {
        account,
        count,
        returned,
    }
}

fn call(number: u8, asks: &[quota::Ask]) -> quota::Action {
    let (hub, asks) = (hub(number), asks.to_vec());
    quota::Action::Call { hub, asks }
}

fn granted(ticket: ids::Ticket) -> quota::Action {
    let result = Ok(());
    quota::Action::Finish { ticket, result }
}

fn grant(granted: u32, next_ms: u64) -> Option<quota::Grant> {
    let retry_ms = next_ms;
    Some(quota::Grant {
        granted,
        next_ms,
        retry_ms,
    })
}

/// Queue that knows some control VMs, and the time.
fn queue(hubs: u8) -> (quota::TokenQueue, time::Instant) {
    let now = time::Instant::now();
    let mut queue = quota::TokenQueue::default();
    let hubs: Vec<_> = (1..=hubs).map(hub).collect();
    queue.set_hubs(&hubs, now);
    (queue, now)
}

/// Guards against a call for each request, and against accounts that wait for one another.
#[test]
fn requests_share_one_call_to_each_control_vm() {
    let (mut queue, now) = queue(1);
    let request = |queue: &mut quota::TokenQueue, ticket, name: &str| {
        queue.request(ticket, &account(name), OBJECTIVE, 0.5, now)
    };
    let first = request(&mut queue, 1, "a");
    assert_eq!(first, [call(1, &[ask("a", 1, 0)])]);
    assert_eq!(request(&mut queue, 2, "a"), []);
    assert_eq!(request(&mut queue, 3, "a"), []);
    assert_eq!(request(&mut queue, 4, "b"), []);
    let actions = queue.call_ended(hub(1), Some(vec![grant(1, 0)]), now);
    let next = call(1, &[ask("a", 2, 0), ask("b", 1, 0)]);
    assert_eq!(actions, [granted(1), next]);
}

/// Guards against a message for a request that no control VM has a token for, and against
/// refusals that outlast the stated time.
#[test]
fn a_request_is_refused_at_once_while_all_shares_are_known_to_be_empty() {
    let (mut queue, now) = queue(1);
    queue.request(1, &account("a"), OBJECTIVE, 0.0, now);
    let denied = queue.call_ended(hub(1), Some(vec![grant(0, 400)]), now);
    let exhausted = |ticket, millis| {
        let retry_after = time::Duration::from_millis(millis);
        let result = Err(quota::Denial::Exhausted { retry_after });
        quota::Action::Finish { ticket, result }
    };
    assert_eq!(denied, [exhausted(1, 400)]);
    let later = now + millis(300);
    // The next token goes to the request before: 100 ms for it and one at ten a second.
    let second = queue.request(2, &account("a"), OBJECTIVE, 0.0, later);
    assert_eq!(second, [exhausted(2, 200)]);
    let due = now + millis(400);
    let third = queue.request(3, &account("a"), OBJECTIVE, 0.0, due);
    assert_eq!(third, [call(1, &[ask("a", 1, 0)])]);
}

/// Guards against waiting for a control VM that does not answer, against the loss of tokens that
/// come late, and against asking a silent one first again.
#[test]
fn a_late_answer_is_used_and_others_are_asked_meanwhile() {
    let (mut queue, now) = queue(2);
    queue.request(1, &account("a"), OBJECTIVE, 0.0, now);
    let overdue = queue.next_wake().expect("an answer is awaited");
    assert_eq!(overdue, now + millis(15));
    assert_eq!(queue.wake(overdue), [call(2, &[ask("a", 1, 0)])]);
    let late = queue.call_ended(hub(1), Some(vec![grant(1, 0)]), now + millis(20));
    assert_eq!(late, [granted(1)]);
    // The other's token is not needed any more.
    let unused = queue.call_ended(hub(2), Some(vec![grant(1, 0)]), now + millis(21));
    assert_eq!(unused, [call(2, &[ask("a", 0, 1)])]);
    queue.call_ended(hub(2), Some(vec![grant(0, 0)]), now + millis(22));
    let next = queue.request(2, &account("a"), OBJECTIVE, 0.0, now + millis(30));
    assert_eq!(next, [call(2, &[ask("a", 1, 0)])]);
}

/// Guards against requests that wait beyond their time, and against tokens for abandoned ones.
#[test]
fn requests_leave_the_queue_when_abandoned_or_out_of_time() {
    let (mut queue, now) = queue(1);
    queue.request(1, &account("a"), OBJECTIVE, 0.0, now);
    queue.request(2, &account("a"), OBJECTIVE, 0.0, now + millis(1));
    queue.cancel("a", 1);
    assert_eq!(queue.waiting(), 1);
    // The process stood still: the answer is read after the time of the second request.
    let late = now + millis(60);
    let actions = queue.call_ended(hub(1), Some(vec![grant(1, 0)]), late);
    let unavailable = quota::Denial::Unavailable {
        retry_after: millis(300),
    };
    let result = Err(unavailable);
    let refused = quota::Action::Finish { ticket: 2, result };
    assert_eq!(actions, [refused, call(1, &[ask("a", 0, 1)])]);
    assert_eq!(queue.waiting(), 0);
}

/// Guards against a loop of calls that fail, and against a 429 without knowledge of the quota.
#[test]
fn a_failed_call_is_not_repeated_at_once() {
    let (mut queue, now) = queue(1);
    queue.request(1, &account("a"), OBJECTIVE, 0.0, now);
    let unavailable = quota::Denial::Unavailable {
        retry_after: millis(300),
    };
    let result = Err(unavailable);
    let refused = |ticket| quota::Action::Finish { ticket, result };
    assert_eq!(queue.call_ended(hub(1), None, now), [refused(1)]);
    let second = queue.request(2, &account("a"), OBJECTIVE, 0.0, now);
    assert_eq!(second, [refused(2)]);
    let later = now + millis(1_000);
    let third = queue.request(3, &account("a"), OBJECTIVE, 0.0, later);
    assert_eq!(third, [call(1, &[ask("a", 1, 0)])]);
}
