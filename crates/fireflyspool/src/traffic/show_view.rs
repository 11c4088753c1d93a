//! Answers to `show` statements from the published view.

use std::time;

use crate::{control, language, state, view};

/// Renders one part of the view as a table.
pub fn show_view(show: language::Show, view: &view::View) -> control::Table {
    match show {
        language::Show::Zones => zones(view),
        language::Show::Servers => servers(view),
        language::Show::Collections => collections(view),
        language::Show::Services => services(view),
        language::Show::Entries => entries(view),
        language::Show::Configuration => configuration(view),
        // Only the leader knows these.
        language::Show::Members | language::Show::History => control::Table::default(),
    }
}

fn zones(view: &view::View) -> control::Table {
    let mut table = control::Table::new(&["zone", "state", "entry VMs", "backend servers"]);
    let of_members = view.members.values().map(|member| &member.zone);
    let of_servers = view
        .servers
        .values()
        .map(|record| &record.announcement.zone);
    let mut names: Vec<_> = of_members
        .chain(of_servers)
        .chain(view.catalog.zones_out.keys())
        .collect();
    names.sort_unstable();
    names.dedup();
    for zone in names {
        let out = if view.catalog.is_zone_out(zone) {
            "out"
        } else {
            "in"
        };
        let members = view
            .members
            .values()
            .filter(|member| member.zone == *zone)
            .count();
        let in_zone = |record: &&view::ServerRecord| record.announcement.zone == *zone;
        let servers = view.servers.values().filter(in_zone).count();
        table.push(&[zone, &out, &members, &servers]);
    }
    table
}

fn servers(view: &view::View) -> control::Table {
    let columns = [
        "server", "service", "zone", "address", "phase", "owner", "state", "shards",
    ];
    let mut table = control::Table::new(&columns);
    for (name, record) in view.servers.iter() {
        let announcement = &record.announcement;
        let owner = record
            .owner
            .map_or("none".to_owned(), |owner| owner.to_string());
        let eligible = if view.is_eligible(record) {
            "in"
        } else {
            "out"
        };
        let phase = format!("{:?}", announcement.phase).to_lowercase();
        let hosted = announcement
            .hosted
            .iter()
            .map(|hosted| format!("{}/{}/{}", hosted.collection, hosted.version, hosted.shard))
            .collect::<Vec<_>>()
            .join(" ");
        table.push(&[
            name,
            &announcement.service,
            &announcement.zone,
            &announcement.address,
            &phase,
            &owner,
            &eligible,
            &hosted,
        ]);
    }
    table
}

fn collections(view: &view::View) -> control::Table {
    let mut table = control::Table::new(&["collection", "version", "shards", "services"]);
    for (name, collection) in view.catalog.collections.iter() {
        for (version, shards) in collection.versions.iter() {
            table.push(&[name, version, shards, &collection.services.join(" ")]);
        }
    }
    table
}

fn services(view: &view::View) -> control::Table {
    let mut table = control::Table::new(&["service", "slots", "connections", "setup"]);
    for (name, service) in view.catalog.services.iter() {
        let setup = humantime::format_duration(service.setup);
        table.push(&[name, &service.slots, &service.connections, &setup]);
    }
    table
}

fn entries(view: &view::View) -> control::Table {
    let columns = ["vm", "zone", "http", "rpc", "state", "load"];
    let mut table = control::Table::new(&columns);
    for member in view.members.values() {
        let state = if member.leaving { "leaving" } else { "serving" };
        let load = format!("{}.{}%", member.load / 10, member.load % 10);
        table.push(&[
            &member.node,
            &member.zone,
            &member.http,
            &member.rpc,
            &state,
            &load,
        ]);
    }
    table
}

fn configuration(view: &view::View) -> control::Table {
    let mut table = control::Table::new(&["key", "value", "origin"]);
    for key in state::ConfigKey::ALL {
        let set = view.catalog.values.get(key.name());
        let origin = if set.is_some() { "set" } else { "default" };
        let text = set
            .cloned()
            .unwrap_or_else(|| key.default_number().to_string());
        table.push(&[&key.name(), &text, &origin]);
    }
    let lease = view.may_act(time::Instant::now());
    table.push(&[
        &"revision",
        &view.catalog.revision,
        &if lease { "in force" } else { "no lease" },
    ]);
    table
}
