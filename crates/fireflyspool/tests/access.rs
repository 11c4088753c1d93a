//! Tests of the authorization of requests by the keys of client accounts.

use std::time;

use fireflyspool::{access, configuration};

const BOUND: time::Duration = time::Duration::from_secs(5);

/// Boot time of the entry VM in these tests.
const BOOT: time::Duration = time::Duration::from_secs(1_000);

fn route(open: bool) -> configuration::Route {
    configuration::Route {
        name: "r".to_owned(),
        host: "h.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_secs(1),
        priority: 3,
        max_attempts: 1,
        open,
        target: configuration::Target::Service("s".to_owned()),
    }
}

fn account(name: &str, key: &str, priority: Option<u32>) -> configuration::Account {
    configuration::Account {
        name: name.to_owned(),
        keys: vec![configuration::KeyDigest::of(key.as_bytes())],
        priority,
        rate: 0.0,
        burst: 0.0,
    }
}

fn accounts() -> configuration::Accounts {
    let list = vec![
        account("first", "alpha", None),
        account("other", "beta", Some(0)),
    ];
    configuration::Accounts::new(list)
}

fn credentials(values: &[&[u8]]) -> access::Credentials {
    let values = values
        .iter()
        .map(|value| bytes::Bytes::copy_from_slice(value));
    access::Credentials::new(values.collect())
}

fn freshness(age_ms: u64, bound: Option<time::Duration>) -> access::Freshness {
    let authority = BOOT - time::Duration::from_millis(age_ms);
    access::Freshness::new(Some(authority), bound, BOOT)
}

fn decide(values: &[&[u8]], freshness: access::Freshness) -> access::Decision {
    access::authorize(&route(false), &accounts(), &credentials(values), freshness)
}

/// Guards against a malformed header that is served, or that is answered with a retry: no
/// configuration, however new, accepts it.
#[test]
fn malformed_credentials_are_unauthorized_at_any_age() {
    let long = [b"Bearer ".as_slice(), &[b'k'; 1_000_000], b" "].concat();
    let cases: [(&[&[u8]], access::Cause); 17] = [
        (&[], access::Cause::Missing),
        (&[b"Bearer alpha", b"Bearer alpha"], access::Cause::Repeated),
        (&[b"Bearer alpha", b""], access::Cause::Repeated),
        (&[b""], access::Cause::OtherScheme),
        (&[b"alpha"], access::Cause::OtherScheme),
        (&[b"Basic alpha"], access::Cause::OtherScheme),
        (&[b"Beareralpha"], access::Cause::OtherScheme),
        (&[b" Bearer alpha"], access::Cause::OtherScheme),
        (&[b"Bearer\talpha"], access::Cause::OtherScheme),
        (&[b"Bearer"], access::Cause::Malformed),
        (&[b"Bearer "], access::Cause::Malformed),
        (&[b"Bearer  alpha"], access::Cause::Malformed),
        (&[b"Bearer alpha "], access::Cause::Malformed),
        (&[b"Bearer alpha, Bearer beta"], access::Cause::Malformed),
        (&[b"Bearer al\tpha"], access::Cause::Malformed),
        (&[b"Bearer alph\xc3\xa4"], access::Cause::Malformed),
        (&[&long], access::Cause::Malformed),
    ];
    let none = access::Freshness::new(None, Some(BOUND), BOOT);
    for (values, cause) in cases {
        for fresh in [
            freshness(0, Some(BOUND)),
            freshness(60_000, Some(BOUND)),
            none,
        ] {
            let expected = access::Decision::Unauthorized(cause);
            assert_eq!(decide(values, fresh), expected);
        }
    }
}

/// Guards against a known key that works in a view that may lack its withdrawal, and against an
/// unknown one that is denied for good in a view that may lack it.
#[test]
fn a_view_that_is_not_confirmed_decides_nothing_about_well_formed_keys() {
    let long = [b"Bearer ".as_slice(), &[b'k'; 1_000_000]].concat();
    let known: &[&[u8]] = &[b"bearer beta"];
    let unknown: [&[&[u8]]; 3] = [&[b"Bearer alph"], &[b"Bearer alphaa"], &[&long]];
    let none = access::Freshness::new(None, Some(BOUND), BOOT);
    for fresh in [freshness(0, Some(BOUND)), freshness(3_999, Some(BOUND))] {
        let access::Decision::Allowed(grant) = decide(known, fresh) else {
            panic!("a key of an account is refused");
        };
        assert_eq!(grant.account().name, "other");
        assert!(grant.holds(&accounts(), fresh));
        for values in unknown {
            let expected = access::Decision::Unauthorized(access::Cause::Unknown);
            assert_eq!(decide(values, fresh), expected);
        }
    }
    for old in [
        freshness(4_000, Some(BOUND)),
        freshness(900_000, Some(BOUND)),
        none,
    ] {
        let expected = access::Decision::Unsure(access::Cause::OldView);
        assert_eq!(decide(known, old), expected);
        for values in unknown {
            let expected = access::Decision::Unsure(access::Cause::UnknownInOldView);
            assert_eq!(decide(values, old), expected);
        }
    }
    // Without a bound, a known key is served at any age, and an unknown one is still not denied.
    let unbound = freshness(60_000, None);
    assert!(matches!(
        decide(known, unbound),
        access::Decision::Allowed(_)
    ));
    let expected = access::Decision::Unsure(access::Cause::UnknownInOldView);
    assert_eq!(decide(unknown[0], unbound), expected);
}

/// Guards against a key that is asked for where the configuration needs none.
#[test]
fn open_routes_and_configurations_without_accounts_need_no_key() {
    let none = access::Freshness::new(None, Some(BOUND), BOOT);
    let empty = configuration::Accounts::default();
    for values in [&[][..], &[b"Bearer unknown".as_slice()]] {
        let values = credentials(values);
        let open = access::authorize(&route(true), &accounts(), &values, none);
        assert_eq!(open, access::Decision::NotNeeded);
        let without = access::authorize(&route(false), &empty, &values, none);
        assert_eq!(without, access::Decision::NotNeeded);
    }
}

/// Guards against attempts that are sent after the key moved or the view became too old.
#[test]
fn a_grant_ends_with_its_key_and_with_the_view() {
    let fresh = freshness(0, Some(BOUND));
    let access::Decision::Allowed(grant) = decide(&[b"Bearer alpha"], fresh) else {
        panic!("a key of an account is refused");
    };
    assert!(!grant.holds(&accounts(), freshness(4_000, Some(BOUND))));
    let other = vec![
        account("first", "new", None),
        account("other", "alpha", None),
    ];
    assert!(!grant.holds(&configuration::Accounts::new(other), fresh));
    let removed = vec![account("other", "beta", None)];
    assert!(!grant.holds(&configuration::Accounts::new(removed), fresh));
    assert!(grant.holds(&configuration::Accounts::default(), fresh));
}

/// Guards against an account's priority that does not go before the route's, and 0 that counts as
/// none.
#[test]
fn the_priority_of_an_account_overrides_that_of_the_route() {
    assert_eq!(account("a", "k", None).priority_on(&route(false)), 3);
    assert_eq!(account("a", "k", Some(0)).priority_on(&route(false)), 0);
}

/// Guards against keys in log lines and errors that show a request.
#[test]
fn debug_output_shows_no_key() {
    let values = credentials(&[b"Bearer alpha"]);
    let decision = decide(&[b"Bearer alpha"], freshness(0, None));
    let shown = format!("{values:?} {decision:?} {:?}", accounts());
    assert!(!shown.contains("alpha"), "{shown}");
}
