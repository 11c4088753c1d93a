//! Control VMs whose disks are lost, one after the other, cannot rejoin while no seed leads.

use std::{io, thread, time};

use crate::{operator, record, site};

/// Control VMs that are seeds, and those that are not.
const SEEDS: [u8; 3] = [1, 3, 5];
const OTHERS: [u8; 2] = [2, 4];

/// Longest time for a VM that is not a seed to become the leader, and most kills for it.
const KILLS: usize = 12;

/// How long a machine is down.
const DOWN: time::Duration = time::Duration::from_secs(1);

/// Time after the return of a machine before the next one is lost; `CatchupS` and a second.
const CATCH_UP: time::Duration = time::Duration::from_secs(5);

/// How long the manifest is read at the end.
const READ_BACK: time::Duration = time::Duration::from_secs(15);

pub fn play(site: &site::Site, record: &record::Record, trouble: bool) -> io::Result<bool> {
    site.start(1)?;
    let operator = operator::Operator { site, record };
    let manifest =
        |version: u64| super::MANIFEST.replace("\"Version\":3", &format!("\"Version\":{version}"));
    let mut version = 3;
    operator.accepted("/fireflyspool/Config.Replace", &manifest(version), 1)?;
    site.await_ready(&site.entries(1), time::Duration::from_secs(20))?;
    thread::sleep(time::Duration::from_secs(6));

    // Kills the leader, whose disk stays, until one that is not a seed leads.
    let mut leader = site.leader()?;
    for _ in 0..KILLS {
        if OTHERS.contains(&leader) {
            break;
        }
        record.note(format!("VM {leader} leads; it is killed and started again"));
        site.kill(&[leader]);
        thread::sleep(DOWN);
        site.start_vm(leader, false)?;
        thread::sleep(time::Duration::from_secs(4));
        leader = site.leader()?;
    }
    if !OTHERS.contains(&leader) {
        return Err(io::Error::other("a seed still leads"));
    }
    record.note(format!("VM {leader} leads, which is not a seed"));
    for seed in SEEDS {
        version += 4;
        operator.accepted(
            "/fireflyspool/Config.Replace",
            &manifest(version),
            OTHERS[0],
        )?;
        record.note(format!("version {version} is acknowledged"));
        site.kill(&[seed]);
        if trouble {
            site.lose_disk(seed)?;
        }
        thread::sleep(DOWN);
        site.start_vm(seed, false)?;
        thread::sleep(CATCH_UP);
    }

    let start = time::Instant::now();
    let newest = format!("\"Version\":{version},");
    while start.elapsed() < READ_BACK {
        for vm in site.controls() {
            if operator.read(vm).is_some_and(|text| text.contains(&newest)) {
                record.note(format!("VM {vm} returns version {version}"));
                return Ok(true);
            }
        }
        thread::sleep(time::Duration::from_millis(500));
    }
    record.note(format!(
        "no control VM returned the acknowledged version {version} in {:.0} s",
        READ_BACK.as_secs_f64()
    ));
    Ok(false)
}
