//! Faults of operators' input: each message names object, field, value and the mend.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use quetzaldeal::config::config_check;
use quetzaldeal::config::config_file;
use quetzaldeal::config::fleet_config;
use quetzaldeal::core::state_chart;
use quetzaldeal::daemon::daemon_settings;
use quetzaldeal::operator::config_diff;

const SOUND: &str = "
---\nkind: base\nversion: 4
---\nkind: data_centre\nname: a
---\nkind: host\nname: a1\ndata_centre: a\naddress: 10.0.0.1:7000
---\nkind: endpoint\nname: e1\ndata_centre: a\naddress: 10.0.0.2:5432\nslots: 3\nconnections: 20
---\nkind: endpoint\nname: e2\ndata_centre: a\naddress: 10.0.0.3:5432\nslots: 3\nconnections: 20
---\nkind: group\nname: g1\nendpoints: [e1, e2]
---\nkind: service\nname: shop\ngroups: [g1]
---\nkind: account\nname: desk\nrate: 10\nburst: 20
---\nkind: rule\nname: shop\nservice: shop\naccounts: [desk]\naccess: write
";

fn parse(text: &str) -> fleet_config::FleetConfig {
    config_file::ConfigFile::parse(text).unwrap().config
}

/// Returns the findings of the sound world with one text replaced, as operators read them.
fn findings(old: &str, new: &str) -> String {
    assert!(SOUND.contains(old), "{old:?} is not in the sound world");
    let config = parse(&SOUND.replacen(old, new, 1));
    let found = config_check::check_config(&config, Some(&parse(SOUND)));
    found.iter().map(|finding| format!("{finding}\n")).collect()
}

/// Names each fault with the change that makes it and what its message must hold.
macro_rules! faults {
    ($($name:ident: $old:literal => $new:literal, $message:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let found = findings($old, $new);
                assert!(found.contains($message), "found: {found}");
            }
        )*
    };
}

faults! {
    dangling_data_centre: "data_centre: a\naddress: 10.0.0.1" => "data_centre: x\naddress: 10.0.0.1",
        "host a1: field data_centre: \"x\": no such data centre";
    dangling_group: "groups: [g1]" => "groups: [g9]",
        "service shop: field groups: \"g9\": no such group";
    dangling_account: "accounts: [desk]" => "accounts: [club]",
        "rule shop: field accounts: \"club\": no such account";
    empty_route: "accounts: [desk]" => "accounts: []",
        "rule shop: field accounts: \"[]\": the route is empty";
    contradiction: "accounts: [desk]" => "accounts: [desk]\nopen: true",
        "rule shop: field accounts: \"desk\": contradicts open: true";
    open_without_public: "accounts: [desk]" => "open: true",
        "rule shop: field open: \"true\": open routes are counted against account `public`";
    endpoint_in_two_places: "endpoints: [e1, e2]" => "endpoints: [e1, e1]",
        "group g1: field endpoints: \"e1\"";
    last_endpoint_out: "kind: data_centre\nname: a" => "kind: data_centre\nname: a\nin_service: false",
        "group g1: field endpoints: \"e1, e2\": no endpoint of the group is in service";
    copies_changed: "endpoints: [e1, e2]" => "endpoints: [e1]",
        "group g1: field endpoints: \"e1\": the copies of a running group cannot change";
    address_without_port: "10.0.0.2:5432" => "10.0.0.2",
        "endpoint e1: field address: \"10.0.0.2\": give an IP number and port";
    address_taken: "10.0.0.3:5432" => "10.0.0.2:5432",
        "endpoint e2: field address: \"10.0.0.2:5432\": endpoint e1 has this address too";
    rate_of_nothing: "rate: 10" => "rate: 0",
        "account desk: field rate: \"0\": give a rate above 0";
    burst_below_one: "burst: 20" => "burst: 0.5",
        "account desk: field burst: \"0.5\": give a burst of at least 1";
    name_with_spaces: "kind: account\nname: desk" => "kind: account\nname: the desk",
        "account: field name: \"the desk\": use 1 to 64";
}

/// Names each malformed file with what its message must hold.
macro_rules! malformed {
    ($($name:ident: $parse:expr, $text:literal, $message:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let parse: fn(&str) -> anyhow::Result<()> = $parse;
                let error = format!("{:#}", parse($text).unwrap_err());
                assert!(error.contains($message), "said: {error}");
            }
        )*
    };
}

malformed! {
    doubled_name: |text| config_file::ConfigFile::parse(text).map(drop),
        "kind: data_centre\nname: a\n---\nkind: data_centre\nname: a\n",
        "data_centre a: field name: stands twice";
    unknown_field: |text| config_file::ConfigFile::parse(text).map(drop),
        "kind: account\nname: desk\nrate: 1\nburst: 1\ncolour: red\n",
        "document 1 (account desk): unknown field `colour`";
    unknown_kind: |text| config_file::ConfigFile::parse(text).map(drop),
        "kind: zone\nname: a\n",
        "document 1 (zone a): unknown variant `zone`";
    broken_yaml: |text| config_file::ConfigFile::parse(text).map(drop), "kind: [account\n", "malformed YAML";
    settings_unknown_field: |text| daemon_settings::DaemonSettings::parse(text).map(drop),
        "host: a1\ndata_centre: a\ncaller: 1.2.3.4:5\n",
        "unknown field `caller`";
    settings_bad_address: |text| daemon_settings::DaemonSettings::parse(text).map(drop),
        "host: a1\ndata_centre: a\ncallers: here\npeers: 1.2.3.4:5\nplatform: 1.2.3.4:6\n\
         endpoint_login: {user: u, database: d}\n",
        "field callers: \"here\": give an IP number and port";
    chart_unknown_state: |text| state_chart::StateChart::parse(text).map(drop),
        "name: c\nstart: a\nstates:\n  a: {go: b}\n",
        "chart c: a on go: unknown state b";
    chart_unreachable_state: |text| state_chart::StateChart::parse(text).map(drop),
        "name: c\nstart: a\nstates:\n  a: {}\n  b: {}\n",
        "chart c: state b cannot be reached";
}

#[test]
fn sound_world_has_no_findings() {
    assert_eq!(config_check::check_config(&parse(SOUND), None), Vec::new());
    assert_eq!(config_file::ConfigFile::parse(SOUND).unwrap().base, Some(4));
}

#[test]
fn written_world_reads_the_same() {
    let file = config_file::ConfigFile::parse(SOUND).unwrap();
    assert_eq!(config_file::ConfigFile::parse(&file.to_yaml().unwrap()).unwrap(), file);
}

#[test]
fn deployments_are_sound() {
    for name in ["lakeshore", "inyange"] {
        let text = std::fs::read_to_string(format!("deploy/{name}.yaml")).unwrap();
        assert_eq!(config_check::check_config(&parse(&text), None), Vec::new(), "{name}");
    }
}

#[test]
fn diff_names_what_changed() {
    let changed = parse(&SOUND.replace("rate: 10", "rate: 15"));
    let changes = config_diff::diff(&parse(SOUND), &changed);
    let text: String = changes.iter().map(ToString::to_string).collect();
    assert_eq!(text, "~ account desk\n  - rate: 10.0\n  + rate: 15.0\n");
}
