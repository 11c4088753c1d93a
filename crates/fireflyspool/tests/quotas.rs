//! Quotas of client accounts over many entry VMs and control VMs.
//!
//! `cargo test --release -p fireflyspool --test quotas -- --nocapture` prints the figures of
//! docs/design/quotas.md.

mod query_fixture;
mod quota_site;

use std::time;

use fireflyspool::{configuration, quota};
use quota_site::{End, QuotaSite, account};

/// Window of the users' bound, share and number of requests by which it may be exceeded.
const WINDOW: time::Duration = time::Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Time from the acknowledgement of lower limits until they bind.
const SETTLE: time::Duration = time::Duration::from_secs(4);

/// Limits of an account, and since when they are in force.
type Limits = (time::Instant, f64, f64);

fn seconds(count: f64) -> time::Duration {
    time::Duration::from_secs_f64(count)
}

/// Largest number of requests that ran in a window, divided by its bound.
fn worst_window(ends: &[End], account: usize, limits: &[Limits]) -> f64 {
    let ran = ends
        .iter()
        .filter(|end| end.account == account && end.result.is_ok());
    let times: Vec<_> = ran.map(|end| end.at).collect();
    let mut first = 0;
    let mut worst: f64 = 0.0;
    for (last, at) in times.iter().enumerate() {
        while *at - times[first] > WINDOW {
            first += 1;
        }
        // Limits that were replaced count until the new ones bind.
        let replaced = |index: usize| limits.get(index + 1).map(|next| next.0 + SETTLE);
        let counts = |index: &usize| replaced(*index).is_none_or(|until| until > times[first]);
        let bound = (0..limits.len()).filter(counts).map(|index| {
            let (_, rate, burst) = limits[index];
            (rate * WINDOW.as_secs_f64() + burst) * (1.0 + OVERSHOOT) + SLACK
        });
        worst = worst.max((last + 1 - first) as f64 / bound.fold(0.0, f64::max));
    }
    worst
}

fn refused(ends: &[End], account: usize) -> usize {
    let own = ends.iter().filter(|end| end.account == account);
    own.filter(|end| end.result.is_err()).count()
}

/// Guards against requests beyond a quota when control VMs restart, are cut off, are replaced
/// or fall silent while accounts send far more than they may and limits change, and against
/// requests without an end.
#[test]
fn no_window_exceeds_a_quota_whatever_fails() {
    query_fixture::fuzz_runs("quotas", 60, 12, check_windows);
}

fn check_windows(list: Vec<u32>) {
    let mut choices = query_fixture::Choices::new(list);
    let vms = 1 + choices.below(120);
    let size = [1, 3, 5, 9][choices.below(4)];
    let names = ["a", "b", "c"];
    let rates = [0.4, 3.0, 20.0, 60.0];
    let accounts: Vec<_> = names
        .iter()
        .map(|name| {
            let rate = rates[choices.below(4)];
            account(name, rate, rate * choices.below(4) as f64)
        })
        .collect();
    let mut site = QuotaSite::new(vms, size, accounts.clone(), choices.below(1_000) as u64);
    let start = site.now;
    let mut limits: Vec<Vec<Limits>> = Vec::new();
    for (index, account) in accounts.iter().enumerate() {
        limits.push(vec![(start, account.rate, account.burst)]);
        let rate = account.rate * (0.3 + choices.below(8) as f64);
        site.load(index, rate, start, start + seconds(30.0), false);
    }
    let mut replaced = false;
    while site.now < start + seconds(30.0) && !choices.is_over() {
        let hub = choices.below(size);
        match choices.below(7) {
            0 => site.restart(hub),
            1 => site.hubs[hub].silent = true,
            2 => site.hubs[hub].silent = false,
            3 if !replaced && size > 1 => {
                replaced = true;
                site.hubs[hub].isolated = Some(site.now);
                let until = site.now + seconds(2.0);
                site.run(until);
                site.replace(hub);
            }
            4 => {
                let index = choices.below(accounts.len());
                let rate = rates[choices.below(4)];
                let mut changed = site.accounts.clone();
                changed[index] = account(names[index], rate, rate);
                limits[index].push((site.now, rate, rate));
                site.configure(changed);
            }
            5 => {
                // Taken out of the configuration and put back.
                let all = site.accounts.clone();
                site.configure(all[1..].to_vec());
                site.configure(all);
            }
            _ => {}
        }
        let until = site.now + time::Duration::from_millis(choices.below(3_000) as u64);
        site.run(until);
    }
    site.run(start + seconds(31.0));
    assert_eq!(site.open(), 0, "requests without an end");
    for (index, limits) in limits.iter().enumerate() {
        let worst = worst_window(&site.ends, index, limits);
        assert!(worst <= 1.0, "account {index} at {worst:.3} of its bound");
    }
    let waited = site.ends.iter().map(|end| end.waited).max();
    assert!(
        waited.is_none_or(|waited| waited <= seconds(0.051)),
        "{waited:?}"
    );
}

/// Guards against refusals below the limit: of accounts of any size, after all control VMs have
/// started together, while another account sends far more than it may, and while a control VM
/// is silent.
#[test]
fn nothing_is_refused_below_the_limit() {
    for (silent, seed) in [(false, 1), (true, 2)] {
        let rates = [0.3, 1.0, 4.0, 25.0, 30.0];
        let accounts = rates.map(|rate| account(&format!("r{rate}"), rate, rate));
        let mut site = QuotaSite::new(104, 9, accounts.to_vec(), seed);
        let start = site.now;
        site.hubs[4].silent = silent;
        for (index, rate) in rates.iter().enumerate() {
            let factor = if index == 4 { 5.0 } else { 0.625 };
            let from = start + seconds(1.0);
            site.load(index, rate * factor, from, start + seconds(60.0), index < 4);
        }
        site.run(start + seconds(61.0));
        for index in 0..4 {
            let refused = refused(&site.ends, index);
            assert_eq!(refused, 0, "account {index}, silent: {silent}");
        }
        assert!(refused(&site.ends, 4) > 0);
    }
}

/// Guards against a bucket that is filled by a restart, and against one that stays empty when an
/// account is new.
#[test]
fn a_new_account_starts_full_and_a_restart_empty() {
    let now = time::Instant::now();
    let later = now + seconds(20.0);
    let ask = |name: &str| {
        vec![quota::Ask {
            account: name.to_owned(),
            count: 100,
            returned: 0,
        }]
    };
    let granted = |shares: &mut quota::Shares, name: &str| {
        let grants = shares.take(&ask(name), later);
        grants[0].expect("the account is known").granted
    };
    let mut shares = quota::Shares::new(now);
    shares.set_place(Some((0, 9)), now);
    shares.set_accounts(vec![account("old", 9.0, 90.0)], now);
    assert_eq!(granted(&mut shares, "old"), 11);
    shares.set_accounts(vec![account("new", 9.0, 90.0)], later);
    assert_eq!(granted(&mut shares, "new"), 11);
    assert_eq!(shares.take(&ask("old"), later), [None]);
    let mut restarted = quota::Shares::new(later);
    restarted.set_place(Some((0, 9)), later);
    restarted.set_accounts(vec![account("new", 9.0, 90.0)], later);
    assert_eq!(granted(&mut restarted, "new"), 0);
    // Back in the configuration, the emptied bucket is still empty.
    shares.set_accounts(vec![account("old", 9.0, 90.0)], later);
    assert_eq!(granted(&mut shares, "old"), 0);
}

/// Guards against a control VM that grants before it belongs to the group, or for accounts of
/// other configurations.
#[test]
fn a_control_vm_without_a_share_grants_nothing() {
    let now = time::Instant::now();
    let ask = [quota::Ask {
        account: "a".to_owned(),
        count: 1,
        returned: 0,
    }];
    let mut shares = quota::Shares::new(now);
    shares.set_accounts(vec![account("a", 9.0, 90.0)], now);
    assert_eq!(shares.take(&ask, now + seconds(20.0)), [None]);
}

/// Guards against a stated time at which there is still no token, and against callers that all
/// return at once.
#[test]
fn refused_callers_find_a_token_when_they_return() {
    let rate = 20.0;
    let mut site = QuotaSite::new(40, 9, vec![account("a", rate, rate)], 3);
    let start = site.now;
    // Empties the shares; nothing else is sent afterwards.
    let burst = start + seconds(10.0);
    for request in 0..60 {
        site.request(
            burst + time::Duration::from_millis(request),
            request as usize % 40,
            0,
        );
    }
    site.run(burst + seconds(0.5));
    let denied: Vec<_> = site
        .ends
        .iter()
        .filter_map(|end| match end.result {
            Err(quota::Denial::Exhausted { retry_after }) => Some(end.at + retry_after),
            _ => None,
        })
        .collect();
    assert!(denied.len() >= 30, "{}", denied.len());
    let returned = site.ends.len();
    for (index, at) in denied.iter().enumerate() {
        site.request((*at).max(site.now), index % 40, 0);
    }
    site.run(burst + seconds(20.0));
    let served = site.ends[returned..]
        .iter()
        .filter(|end| end.result.is_ok())
        .count();
    println!(
        "{served} of {} refused callers were served on their return",
        denied.len()
    );
    assert!(
        served * 10 >= denied.len() * 8,
        "{served} of {}",
        denied.len()
    );
}

/// Compares shares at the control VMs with an equal share for each entry VM.
#[test]
fn shares_at_control_vms_refuse_less_than_equal_shares_of_entry_vms() {
    for vms in [104, 300] {
        let (accounts, usual) = site_accounts();
        let mut site = QuotaSite::new(vms, 9, accounts.clone(), 7);
        let start = site.now;
        let surge = (start + seconds(30.0), start + seconds(36.5));
        for (index, rate) in usual.iter().enumerate() {
            site.load(index, *rate, start, start + seconds(60.0), false);
        }
        site.load(SURGING, usual[SURGING] * 6.5, surge.0, surge.1, false);
        site.run(surge.0);
        let calm_calls = site.calls as f64 / 30.0;
        site.run(surge.1);
        let surge_calls = (site.calls as f64 - calm_calls * 30.0) / 6.5;
        site.run(start + seconds(61.0));
        let equal = equal_shares(&site.ends, &accounts, vms);
        println!("{vms} entry VMs: {calm_calls:.0} calls/s, {surge_calls:.0} in the surge");
        let figures = [("control VMs", &site.ends), ("entry VMs", &equal)].map(|(name, ends)| {
            let figures = figures(ends, &accounts, surge);
            println!("shares at {name}: {figures:?}");
            figures
        });
        let [shared, equal] = figures;
        assert!(shared.refused_early < 0.01, "{shared:?}");
        assert!(
            shared.refused < 0.005 && shared.refused < equal.refused,
            "{shared:?}"
        );
        assert!(shared.worst_window <= 1.0, "{shared:?}");
        assert!(shared.surge_use > 0.9, "{shared:?}");
    }
}

/// Account that sends 7.5 times its usual load.
const SURGING: usize = 1;

/// 77 accounts with 120 requests a second, by Zipf's law, and limits of 1.6 times that.
fn site_accounts() -> (Vec<configuration::Account>, Vec<f64>) {
    let weights: Vec<_> = (1..=77).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let usual: Vec<_> = weights
        .iter()
        .map(|weight| 120.0 * weight / total)
        .collect();
    let accounts = usual.iter().enumerate().map(|(index, rate)| {
        let rate = rate * 1.6;
        account(&format!("account-{index:02}"), rate, rate)
    });
    (accounts.collect(), usual)
}

/// Results of one way to share quotas.
#[derive(Debug)]
struct Figures {
    /// Share of the requests, outside the surge of its account, that were refused although one
    /// bucket for the whole site had a token; without the first 10 s.
    refused: f64,
    /// The same in the first 10 s after the start of all control VMs.
    refused_early: f64,
    /// Fullest window as a share of its bound.
    worst_window: f64,
    /// Requests of the surging account that ran in the surge, as a share of its limit.
    surge_use: f64,
}

fn figures(
    ends: &[End],
    accounts: &[configuration::Account],
    (from, until): (time::Instant, time::Instant),
) -> Figures {
    let full = |account: &configuration::Account| (account.burst.max(1.0), ends[0].at);
    let mut buckets: Vec<_> = accounts.iter().map(full).collect();
    let (mut refused, mut total, mut surged) = ([0, 0], [0, 0], 0);
    for end in ends {
        let account = &accounts[end.account];
        let (level, last) = &mut buckets[end.account];
        let elapsed = end.at.saturating_duration_since(*last).as_secs_f64();
        *level = (*level + elapsed * account.rate).min(account.burst.max(1.0));
        *last = end.at;
        let surges = end.account == SURGING && end.at >= from && end.at <= until;
        let early = usize::from(end.at < ends[0].at + seconds(10.0));
        total[early] += 1;
        match end.result {
            Ok(()) => {
                *level = (*level - 1.0).max(0.0);
                surged += u32::from(surges);
            }
            Err(_) if *level >= 1.0 && !surges => refused[early] += 1,
            Err(_) => {}
        }
    }
    let windows = accounts.iter().enumerate().map(|(index, account)| {
        worst_window(ends, index, &[(ends[0].at, account.rate, account.burst)])
    });
    let share = |early: usize| f64::from(refused[early]) / f64::from(total[early]);
    Figures {
        refused: share(0),
        refused_early: share(1),
        worst_window: windows.fold(0.0, f64::max),
        surge_use: f64::from(surged) / (accounts[SURGING].rate * (until - from).as_secs_f64()),
    }
}

/// The same requests with an equal share for each entry VM.
fn equal_shares(ends: &[End], accounts: &[configuration::Account], vms: usize) -> Vec<End> {
    let start = ends[0].at;
    let mut shares: Vec<_> = (0..vms)
        .map(|vm| {
            let mut shares = quota::Shares::new(start);
            shares.set_place(Some((vm, vms)), start);
            shares.set_accounts(accounts.to_vec(), start);
            shares
        })
        .collect();
    let mut random = query_fixture::SplitMix64(5);
    let ends = ends.iter().map(|end| {
        let vm = random.below(vms as u64) as usize;
        let account = accounts[end.account].name.clone();
        let grant = shares[vm].take(
            &[quota::Ask {
                account,
                count: 1,
                returned: 0,
            }],
            end.at,
        );
        let granted = grant[0].is_some_and(|grant| grant.granted == 1);
        let retry_after = time::Duration::ZERO;
        let result = granted
            .then_some(())
            .ok_or(quota::Denial::Exhausted { retry_after });
        End { result, ..*end }
    });
    ends.collect()
}
