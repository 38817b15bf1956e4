//! Checks that errors in operators' input are reported with object, field, value and what to do.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use quetzaldeal::core::state_chart;
use quetzaldeal::daemon::daemon_settings;
use quetzaldeal::operator::config_diff;
use quetzaldeal::world::config_check;
use quetzaldeal::world::world_config;
use quetzaldeal::world::world_file;

const VALID_WORLD: &str = "
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

fn parse(text: &str) -> world_config::WorldConfig {
    world_file::WorldFile::parse(text).unwrap().world
}

/// Returns the findings for the valid world with `old` replaced by `new`, as operators see them.
fn findings(old: &str, new: &str) -> String {
    assert!(VALID_WORLD.contains(old), "{old:?} is not in the valid world");
    let world = parse(&VALID_WORLD.replacen(old, new, 1));
    let found = config_check::check_world(&world, Some(&parse(VALID_WORLD)));
    found.iter().map(|finding| format!("{finding}\n")).collect()
}

/// Generates a test for each error: the change that makes the valid world invalid, and a part of
/// the finding.
macro_rules! invalid_worlds {
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

invalid_worlds! {
    unknown_data_centre_is_reported: "data_centre: a\naddress: 10.0.0.1"
        => "data_centre: x\naddress: 10.0.0.1",
        "host a1: field data_centre: \"x\": no such data centre";
    unknown_group_is_reported: "groups: [g1]" => "groups: [g9]",
        "service shop: field groups: \"g9\": no such group";
    unknown_account_is_reported: "accounts: [desk]" => "accounts: [club]",
        "rule shop: field accounts: \"club\": no such account";
    rule_without_accounts_is_reported: "accounts: [desk]" => "accounts: []",
        "rule shop: field accounts: \"[]\": the route is empty";
    open_rule_with_accounts_is_reported: "accounts: [desk]" => "accounts: [desk]\nopen: true",
        "rule shop: field accounts: \"desk\": contradicts open: true";
    open_rule_without_public_account_is_reported: "accounts: [desk]" => "open: true",
        "rule shop: field open: \"true\": open routes are counted against account `public`";
    endpoint_listed_twice_is_reported: "endpoints: [e1, e2]" => "endpoints: [e1, e1]",
        "group g1: field endpoints: \"e1\"";
    group_without_endpoint_in_service_is_reported: "kind: data_centre\nname: a"
        => "kind: data_centre\nname: a\nin_service: false",
        "group g1: field endpoints: \"e1, e2\": no endpoint of the group is in service";
    changed_endpoints_of_running_group_are_reported: "endpoints: [e1, e2]" => "endpoints: [e1]",
        "group g1: field endpoints: \"e1\": the copies of a running group cannot change";
    address_without_port_is_reported: "10.0.0.2:5432" => "10.0.0.2",
        "endpoint e1: field address: \"10.0.0.2\": give an IP number and port";
    duplicate_address_is_reported: "10.0.0.3:5432" => "10.0.0.2:5432",
        "endpoint e2: field address: \"10.0.0.2:5432\": endpoint e1 has this address too";
    zero_rate_is_reported: "rate: 10" => "rate: 0",
        "account desk: field rate: \"0\": give a rate above 0";
    burst_below_one_is_reported: "burst: 20" => "burst: 0.5",
        "account desk: field burst: \"0.5\": give a burst of at least 1";
    name_with_spaces_is_reported: "kind: account\nname: desk" => "kind: account\nname: the desk",
        "account: field name: \"the desk\": use 1 to 64";
}

/// Generates a test for each malformed file: its parser, its text and a part of the error.
macro_rules! malformed_files {
    ($($name:ident: $parse:expr, $text:literal, $message:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let parse: fn(&str) -> anyhow::Result<()> = $parse;
                let error = format!("{:#}", parse($text).unwrap_err());
                assert!(error.contains($message), "error: {error}");
            }
        )*
    };
}

malformed_files! {
    duplicate_name_is_rejected: |text| world_file::WorldFile::parse(text).map(drop),
        "kind: data_centre\nname: a\n---\nkind: data_centre\nname: a\n",
        "data_centre a: field name: stands twice";
    unknown_field_is_rejected: |text| world_file::WorldFile::parse(text).map(drop),
        "kind: account\nname: desk\nrate: 1\nburst: 1\ncolour: red\n",
        "document 1 (account desk): unknown field `colour`";
    unknown_kind_is_rejected: |text| world_file::WorldFile::parse(text).map(drop),
        "kind: zone\nname: a\n",
        "document 1 (zone a): unknown variant `zone`";
    malformed_yaml_is_rejected: |text| world_file::WorldFile::parse(text).map(drop),
        "kind: [account\n", "malformed YAML";
    unknown_settings_field_is_rejected:
        |text| daemon_settings::DaemonSettings::parse(text).map(drop),
        "host: a1\ndata_centre: a\ncaller: 1.2.3.4:5\n",
        "unknown field `caller`";
    malformed_settings_address_is_rejected:
        |text| daemon_settings::DaemonSettings::parse(text).map(drop),
        "host: a1\ndata_centre: a\ncallers: here\npeers: 1.2.3.4:5\nplatform: 1.2.3.4:6\n\
         endpoint_login: {user: u, database: d}\n",
        "field callers: \"here\": give an IP number and port";
    chart_with_unknown_state_is_rejected: |text| state_chart::StateChart::parse(text).map(drop),
        "name: c\nstart: a\nstates:\n  a: {go: b}\n",
        "chart c: a on go: unknown state b";
    chart_with_unreachable_state_is_rejected: |text| state_chart::StateChart::parse(text).map(drop),
        "name: c\nstart: a\nstates:\n  a: {}\n  b: {}\n",
        "chart c: state b cannot be reached";
}

#[test]
fn valid_world_has_no_findings() {
    assert_eq!(config_check::check_world(&parse(VALID_WORLD), None), Vec::new());
    assert_eq!(world_file::WorldFile::parse(VALID_WORLD).unwrap().base, Some(4));
}

#[test]
fn world_survives_writing_and_reading() {
    let file = world_file::WorldFile::parse(VALID_WORLD).unwrap();
    assert_eq!(world_file::WorldFile::parse(&file.to_yaml().unwrap()).unwrap(), file);
}

#[test]
fn deployment_files_are_valid() {
    for name in ["lakeshore", "inyange"] {
        let text = std::fs::read_to_string(format!("deploy/{name}.yaml")).unwrap();
        assert_eq!(config_check::check_world(&parse(&text), None), Vec::new(), "{name}");
    }
}

#[test]
fn diff_lists_changed_fields() {
    let changed = parse(&VALID_WORLD.replace("rate: 10", "rate: 15"));
    let changes = config_diff::diff(&parse(VALID_WORLD), &changed);
    let text: String = changes.iter().map(ToString::to_string).collect();
    assert_eq!(text, "~ account desk\n  - rate: 10.0\n  + rate: 15.0\n");
}
