//! Builds configurations for simulated fleets.

use quetzaldeal::world::key_secret;
use quetzaldeal::world::world_config;
use quetzaldeal::world::world_file;

/// A configuration with the keys of its accounts.
pub(crate) struct FleetWorld {
    pub(crate) world: world_config::WorldConfig,
    /// Accounts with the key that their callers use.
    pub(crate) keys: Vec<(String, String)>,
}

/// Builds a configuration with `hosts` hosts in each data centre and `groups` groups of three
/// endpoints, one in each of the first three data centres. Accounts are name, rate and burst; all
/// may write.
pub(crate) fn build(
    centres: &[String],
    hosts: usize,
    groups: usize,
    accounts: &[(String, f64, f64)],
) -> FleetWorld {
    let mut text = String::new();
    for (index, centre) in centres.iter().enumerate() {
        text += &format!("---\nkind: data_centre\nname: {centre}\n");
        for host in 1..=hosts {
            let port = 1_000 + index * 100 + host;
            text += &format!(
                "---\nkind: host\nname: {centre}{host}\ndata_centre: {centre}\naddress: 10.0.0.1:{port}\n"
            );
        }
    }
    let mut names = Vec::new();
    for group in 1..=groups {
        let mut endpoints = Vec::new();
        for index in 0..3 {
            let centre = &centres[index % centres.len()];
            let (name, port) = (format!("g{group}-{}", index + 1), 5_000 + group * 10 + index);
            text += &format!(
                "---\nkind: endpoint\nname: {name}\ndata_centre: {centre}\naddress: 10.0.0.2:{port}\nslots: 3\nconnections: 40\n"
            );
            endpoints.push(name);
        }
        text +=
            &format!("---\nkind: group\nname: g{group}\nendpoints: [{}]\n", endpoints.join(", "));
        names.push(format!("g{group}"));
    }
    text += &format!("---\nkind: service\nname: shop\ngroups: [{}]\n", names.join(", "));
    let account_names: Vec<&str> = accounts.iter().map(|(name, _, _)| name.as_str()).collect();
    for (name, rate, burst) in accounts {
        text += &format!("---\nkind: account\nname: {name}\nrate: {rate}\nburst: {burst}\n");
    }
    text += &format!(
        "---\nkind: rule\nname: shop\nservice: shop\naccounts: [{}]\naccess: write\nmax_age_ms: 10000\n",
        account_names.join(", ")
    );
    let mut world = world_file::WorldFile::parse(&text).unwrap().world;
    let mut keys = Vec::new();
    for (name, _, _) in accounts {
        let secret = key_secret::KeySecret::generate(&format!("{name}-key"), name);
        world.keys.insert(secret.object.name.clone(), secret.object);
        keys.push((name.clone(), secret.text));
    }
    FleetWorld { world, keys }
}
