//! Entry machines are killed and started again while an evacuation ends.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{found, late, manifest, site::Site, sleep, Verdict};

pub fn run(site: &Arc<Site>, trouble: bool) -> Verdict {
    let first = manifest(1, &late::routes(), &[("desk", late::WARMUP_PER_S)]);
    let entries = [10, 11, 12];
    let clients = match found(site, &entries, &first) {
        Ok(clients) => clients,
        Err(cause) => return Verdict::CouldNotRun(cause),
    };
    let desks = late::searchers(site, [2, 3, 2]);
    sleep(4.0);
    let start = Instant::now();
    late::send(&clients, Duration::from_millis(6));
    sleep(5.0);
    if site.order("/fireflyspool/Evacuation.Start/b", "").is_none() {
        return Verdict::CouldNotRun("the evacuation wasn't acknowledged".to_owned());
    }
    site.note("the evacuation of zone b is acknowledged");
    sleep(8.0);
    if trouble {
        for vm in entries {
            site.kill(vm);
        }
        site.note("all entry machines are killed");
    }
    sleep(0.6);
    let cold = Instant::now();
    for desk in desks.iter().filter(|desk| desk.zone == "b") {
        desk.turn_cold(Duration::from_secs(3));
    }
    site.note("the searchers of zone b become cold for 3 s");
    sleep(0.1);
    if site
        .order("/fireflyspool/Evacuation.Finish/b", "")
        .is_none()
    {
        return Verdict::CouldNotRun("the end of the evacuation wasn't acknowledged".to_owned());
    }
    site.note("the end of the evacuation is acknowledged");
    if trouble {
        sleep(0.2);
        for vm in entries {
            site.start(vm, false);
        }
        site.note("all entry machines start again");
    }
    sleep(8.0);
    clients.stop();
    sleep(1.5);
    late::note_served(site, &clients, start, cold);
    late::judge(site, &desks, &clients)
}
