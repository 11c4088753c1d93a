//! Choice of backend servers while they are slow, reject requests or lack connections.

mod choice_site;

use choice_site::{Play, Site, VMS};

/// The servers of one zone are slow.
const SLOW: Play = Play {
    known_cap: 70,
    paces: false,
    hidden: false,
    slowness: 8.0,
    rejected: 0.0,
    bursts: 0.15,
    share: None,
    fault: (10, 20),
    seconds: 25,
};

/// The servers of one zone reject requests.
const REJECTING: Play = Play {
    slowness: 1.0,
    rejected: 0.6,
    ..SLOW
};

/// Most servers of all zones reject requests.
const SPREAD: Play = Play {
    share: Some(0.8),
    ..REJECTING
};

/// Many servers of all zones are slow and reject requests.
const MIXED: Play = Play {
    share: Some(0.4),
    slowness: 20.0,
    rejected: 0.4,
    ..SLOW
};

/// The entry VMs together opened more connections than the servers accept once servers were slow
/// or rejected requests, and queries missed the shards of those that were reset.
#[test]
fn entry_vms_stay_below_the_connections_of_servers() {
    for play in [SLOW, REJECTING, SPREAD, MIXED] {
        let former = Site::run(Play {
            known_cap: VMS,
            ..play
        });
        let shared = Site::run(play);
        println!("former: {former}");
        println!("shared: {shared}");
        assert!(former.resets > 0, "the play no longer shows the failure");
        assert_eq!(shared.resets, 0);
        assert!(shared.mean(0) > former.mean(0) - 0.01, "sweeps lost value");
        assert!(shared.mean(1) > former.mean(1) - 0.01, "lookups lost value");
        // Each new connection takes 6 ms of a slot, a third of the work of a sweep.
        assert!(shared.opens < 2 * (former.opens + former.resets), "churn");
    }
}

/// Entry VMs sent requests to servers that had stated that they were slow or had requests waiting.
#[test]
fn servers_that_state_their_pace_are_chosen_by_expected_completion() {
    for play in [SLOW, REJECTING, SPREAD, MIXED] {
        let former = Site::run(play);
        let paced = Site::run(Play {
            paces: true,
            ..play
        });
        println!("unpaced: {former}");
        println!("paced: {paced}");
        assert!(paced.resets <= 5, "connections were refused");
        assert!(paced.mean(0) > former.mean(0) - 0.01, "sweeps lost value");
        assert!(paced.mean(1) > former.mean(1) - 0.01, "lookups lost value");
        if play.share.is_none() {
            let lost = |tally: &choice_site::Tally| 2.0 - tally.mean(0) - tally.mean(1);
            assert!(lost(&paced) < 0.6 * lost(&former), "no gain");
        }
    }
}

/// Guards against requests to other zones that short slow phases cause in calm, and against trust
/// in servers that are slower than they state.
#[test]
fn a_stated_pace_costs_nothing_in_calm_or_if_it_is_untrue() {
    let calm = Play {
        fault: (0, 0),
        ..SLOW
    };
    let hidden = Play {
        hidden: true,
        ..SLOW
    };
    for play in [calm, hidden] {
        let former = Site::run(play);
        let paced = Site::run(Play {
            paces: true,
            ..play
        });
        println!("unpaced: {former}");
        println!("paced: {paced}");
        assert_eq!(paced.resets, 0);
        assert!(paced.mean(0) > former.mean(0) - 0.01, "sweeps lost value");
        assert!(paced.mean(1) > former.mean(1) - 0.01, "lookups lost value");
        assert!(paced.crossings < former.crossings * 6 / 5, "other zones");
    }
}
