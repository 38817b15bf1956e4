//! Extrapolates measured slopes to the design size and renders the capacity tables as Markdown.

use std::fmt::Write as _;

use crate::capacity_slopes;

/// Hosts at the design size, each with one daemon.
const HOSTS: f64 = 2_200.0;
/// Endpoints at the design size.
const ENDPOINTS: f64 = 3_100.0;
/// Client connections at the design size.
const CALLERS: f64 = 11_000_000.0;
const STATEMENTS_PER_S: f64 = 7_600_000.0;
const DATA_CENTRES: f64 = 15.0;
/// Published changes of the configuration per day.
const CHANGES_PER_DAY: f64 = 4_300.0;
/// Hosts that restart, fail or are replaced per day.
const RESTARTS_PER_DAY: f64 = 344.0;
const FAILOVERS_PER_DAY: f64 = 5.0;
/// Greatest size of the part of the configuration that a change of one object rewrites.
const MAX_PART_BYTES: f64 = 16_384.0;
const DAY_S: f64 = 86_400.0;
/// Client accounts; an assumption, because the requirements give no number.
const ACCOUNTS: f64 = 3_000.0;
/// Accounts that one host serves within a minute (assumption).
const ACTIVE_ACCOUNTS_PER_HOST: f64 = 300.0;
/// Fraction of the statements that write (assumption).
const WRITE_FRACTION: f64 = 0.2;
/// Most connections that an endpoint accepts.
const ENDPOINT_CONNECTIONS: f64 = 20.0;
const ENDPOINTS_PER_GROUP: f64 = 3.0;
/// Hosts that serve a group in each data centre that holds one of its endpoints.
const SERVING_HOSTS_PER_ENDPOINT: f64 = 2.0;
/// Heartbeats that one host sends per second.
const HEARTBEATS_PER_S: f64 = 6.0;
/// Rounds of share requests that a host sends per second, for all active accounts.
const SHARE_REQUESTS_PER_S: f64 = 15.0;
/// Metrics per account. METRIC_BYTES is the size of one of many in a packet.
const METRICS_PER_ACCOUNT: f64 = 10.0;
const METRIC_BYTES: f64 = 45.0;
const METRICS_INTERVAL_S: f64 = 60.0;
/// Processor time that a daemon may use without callers, as a percentage of a processor core.
const BUDGET_CPU_PERCENT: f64 = 1.3;
/// Memory that a daemon may use.
const BUDGET_MB: f64 = 256.0;
const BUDGET_BYTES_PER_S: f64 = 18_000.0;
/// Times that one host renews its watch per second.
const WATCH_RENEWALS_PER_S: f64 = 2.0;
/// Quota of the platform for reads by all hosts.
const PLATFORM_READS_PER_S: f64 = 2_000.0;
const MB: f64 = 1_000_000.0;

/// Returns the capacity tables as Markdown.
pub fn render(slopes: &capacity_slopes::CapacitySlopes) -> String {
    let mut out = String::new();
    write_fleets(&mut out, &slopes.fleets);
    write_roles(&mut out, slopes);
    write_platform(&mut out);
    write_limits(&mut out);
    out
}

fn push_line(out: &mut String, text: &str) {
    // Writing to a string cannot fail.
    let _written = writeln!(out, "{text}");
}

fn write_fleets(out: &mut String, fleets: &[capacity_slopes::FleetSample]) {
    push_line(out, "### Idle fleets of real processes\n");
    push_line(
        out,
        "| daemons | endpoints probed by each | CPU of a daemon, % of a core | memory, MB | loopback bytes/s per daemon | platform calls/s, all daemons | publication active on all hosts, ms |",
    );
    push_line(out, "|---|---|---|---|---|---|---|");
    for fleet in fleets {
        push_line(
            out,
            &format!(
                "| {} | {} | {:.2} | {:.1} | {:.0} | {:.1} | {:.0} |",
                fleet.hosts,
                fleet.endpoints,
                fleet.cpu_percent,
                fleet.rss_mb,
                fleet.bytes_per_s,
                fleet.platform_calls_per_s,
                fleet.publish_ms
            ),
        );
    }
    if let Some((base, slope)) = fit_line(fleets, |fleet| fleet.cpu_percent) {
        push_line(
            out,
            &format!("\nCPU of an idle daemon: {base:.3} % + {slope:.4} % per endpoint probed."),
        );
    }
    if let Some((base, slope)) = fit_line(fleets, |fleet| fleet.bytes_per_s) {
        push_line(out, &format!("Bytes/s: {base:.0} + {slope:.0} per endpoint probed."));
    }
}

/// Fits a line by least squares over the number of endpoints probed and returns its base and
/// slope, or `None` if the samples do not determine one.
fn fit_line(
    fleets: &[capacity_slopes::FleetSample],
    value: impl Fn(&capacity_slopes::FleetSample) -> f64,
) -> Option<(f64, f64)> {
    let count = fleets.len() as f64;
    let mean_x = fleets.iter().map(|fleet| fleet.endpoints).sum::<f64>() / count;
    let mean_y = fleets.iter().map(&value).sum::<f64>() / count;
    let variance_sum: f64 = fleets.iter().map(|fleet| (fleet.endpoints - mean_x).powi(2)).sum();
    if fleets.len() < 2 || variance_sum == 0.0 {
        return None;
    }
    let covariance_sum: f64 =
        fleets.iter().map(|fleet| (fleet.endpoints - mean_x) * (value(fleet) - mean_y)).sum();
    let slope = covariance_sum / variance_sum;
    Some((mean_y - slope * mean_x, slope))
}

struct RoleRow {
    role: &'static str,
    mechanism: &'static str,
    control: bool,
    state_mb: f64,
    messages_per_s: f64,
    bytes_per_s: f64,
    cpu_percent: f64,
}

fn roles(slopes: &capacity_slopes::CapacitySlopes) -> Vec<RoleRow> {
    let core = &slopes.core;
    let memory = &slopes.memory;
    let callers = CALLERS / HOSTS;
    let statements = STATEMENTS_PER_S / HOSTS;
    let groups = ENDPOINTS / ENDPOINTS_PER_GROUP;
    let served = groups * ENDPOINTS_PER_GROUP * SERVING_HOSTS_PER_ENDPOINT / HOSTS;
    let probed = served * ENDPOINTS_PER_GROUP;
    let objects = HOSTS + ENDPOINTS + groups + 2.0 * ACCOUNTS;
    let changes = CHANGES_PER_DAY / DAY_S;
    let probe_bytes =
        fit_line(&slopes.fleets, |fleet| fleet.bytes_per_s).map_or(0.0, |(_, slope)| slope);
    let probe_cpu =
        fit_line(&slopes.fleets, |fleet| fleet.cpu_percent).map_or(0.0, |(_, slope)| slope);
    let idle_cpu =
        fit_line(&slopes.fleets, |fleet| fleet.cpu_percent).map_or(0.0, |(base, _)| base);
    let head_bytes = core.head_bytes_per_object * objects;
    let percent = |us_per_s: f64| us_per_s / 10_000.0;
    vec![
        RoleRow {
            role: "listener for callers",
            mechanism: "a small state per caller in an arena; sessions are carried in tokens",
            control: false,
            state_mb: callers * memory.caller_bytes / MB,
            messages_per_s: statements * 2.0,
            bytes_per_s: f64::NAN,
            cpu_percent: f64::NAN,
        },
        RoleRow {
            role: "decisions",
            mechanism: "a single thread without locks; reads at replicas that have reached the session's log point",
            control: false,
            state_mb: 0.0,
            messages_per_s: statements * 2.0,
            bytes_per_s: 0.0,
            cpu_percent: percent(
                statements
                    * (core.read_us * (1.0 - WRITE_FRACTION) + core.write_us * WRITE_FRACTION),
            ),
        },
        RoleRow {
            role: "group terms and positions, endpoint pools",
            mechanism: "serving hosts: in each data centre with an endpoint of a group, two hosts probe the group and hold its connections (not yet built; every host does so at present)",
            control: true,
            state_mb: groups * memory.group_bytes / MB,
            messages_per_s: probed * 4.0 * 2.0,
            bytes_per_s: probed * probe_bytes,
            cpu_percent: probed * probe_cpu.max(percent(core.probe_us_per_s)),
        },
        RoleRow {
            role: "rate limits",
            mechanism: "home shares on at most 4 hosts per data centre; loans between hosts, no platform calls",
            control: true,
            state_mb: ACCOUNTS * memory.account_bytes / MB,
            messages_per_s: SHARE_REQUESTS_PER_S * 2.0,
            bytes_per_s: SHARE_REQUESTS_PER_S * core.share_bytes,
            cpu_percent: percent(ACCOUNTS * core.account_us_per_s),
        },
        RoleRow {
            role: "membership and confirmation",
            mechanism: "heartbeats every 0.5 s to a nearby host and to hosts in two other data centres, with the ages of all data centres; changes at once",
            control: true,
            state_mb: HOSTS * memory.host_bytes / MB,
            messages_per_s: HEARTBEATS_PER_S * 4.0,
            bytes_per_s: HEARTBEATS_PER_S * 2.0 * core.pulse_bytes_15,
            cpu_percent: idle_cpu,
        },
        RoleRow {
            role: "configuration sync",
            mechanism: "two watching hosts per data centre; heads in heartbeats, changed parts from the peer that announced them",
            control: true,
            state_mb: objects * 200.0 / MB,
            messages_per_s: changes * 4.0,
            bytes_per_s: changes * (head_bytes + MAX_PART_BYTES) * 2.0,
            cpu_percent: percent(changes * objects * core.adopt_us_per_object),
        },
        RoleRow {
            role: "metrics",
            mechanism: "histograms of accounts that the host has served, StatsD every 60 s",
            control: true,
            state_mb: ACTIVE_ACCOUNTS_PER_HOST * memory.histogram_bytes / MB,
            messages_per_s: ACTIVE_ACCOUNTS_PER_HOST * METRICS_PER_ACCOUNT / METRICS_INTERVAL_S,
            bytes_per_s: ACTIVE_ACCOUNTS_PER_HOST * METRICS_PER_ACCOUNT * METRIC_BYTES
                / METRICS_INTERVAL_S,
            cpu_percent: 0.0,
        },
    ]
}

fn write_roles(out: &mut String, slopes: &capacity_slopes::CapacitySlopes) {
    push_line(out, "\n### One daemon at the design size\n");
    push_line(out, "| role | mechanism | memory, MB | messages/s | bytes/s | % of a core |");
    push_line(out, "|---|---|---|---|---|---|");
    let show = |value: f64, digits: usize| {
        if value.is_nan() { "not measured".to_owned() } else { format!("{value:.digits$}") }
    };
    let rows = roles(slopes);
    for row in &rows {
        push_line(
            out,
            &format!(
                "| {}{} | {} | {} | {} | {} | {} |",
                row.role,
                if row.control { " (control)" } else { "" },
                row.mechanism,
                show(row.state_mb, 1),
                show(row.messages_per_s, 1),
                show(row.bytes_per_s, 0),
                show(row.cpu_percent, 3)
            ),
        );
    }
    let control: Vec<&RoleRow> = rows.iter().filter(|row| row.control).collect();
    let sum = |value: fn(&RoleRow) -> f64| control.iter().map(|row| value(row)).sum::<f64>();
    let process = slopes.fleets.iter().map(|fleet| fleet.rss_mb).fold(f64::INFINITY, f64::min);
    let process = if process.is_finite() { process } else { 0.0 };
    push_line(
        out,
        &format!(
            "| **control, total** | the process itself: {process:.1} MB | {:.1} of {BUDGET_MB} | {:.1} | {:.0} of {BUDGET_BYTES_PER_S} | {:.2} of {BUDGET_CPU_PERCENT} |",
            sum(|row| row.state_mb) + process,
            sum(|row| row.messages_per_s),
            sum(|row| row.bytes_per_s),
            sum(|row| row.cpu_percent)
        ),
    );
}

fn write_platform(out: &mut String) {
    let watches = DATA_CENTRES * 2.0 * WATCH_RENEWALS_PER_S;
    let lists = DATA_CENTRES * 2.0;
    let parts = CHANGES_PER_DAY / DAY_S * DATA_CENTRES * 2.0 * 2.0;
    let starts = RESTARTS_PER_DAY / DAY_S * 5.0;
    let writes = CHANGES_PER_DAY / DAY_S * 5.0 + FAILOVERS_PER_DAY / DAY_S * 4.0;
    push_line(out, "\n### Platform calls at the design size\n");
    push_line(out, "| caller | calls/s | quota per second |");
    push_line(out, "|---|---|---|");
    push_line(
        out,
        &format!(
            "| watches of two hosts per data centre, renewed twice a second | {watches:.1} | {PLATFORM_READS_PER_S:.0} reads |"
        ),
    );
    push_line(
        out,
        &format!(
            "| list of hosts, read by the same hosts | {lists:.1} | {PLATFORM_READS_PER_S:.0} reads |"
        ),
    );
    push_line(
        out,
        &format!(
            "| changed parts of the configuration, read by the same hosts | {parts:.1} | {PLATFORM_READS_PER_S:.0} reads |"
        ),
    );
    push_line(out, &format!("| starting hosts | {starts:.2} | {PLATFORM_READS_PER_S:.0} reads |"));
    push_line(
        out,
        &format!("| publications and failovers | {writes:.2} | several hundred writes |"),
    );
    push_line(out, "| rate limits | 0 | |");
}

fn write_limits(out: &mut String) {
    let hosts = ENDPOINT_CONNECTIONS - 2.0;
    push_line(out, "\n### Limits of the present mechanisms\n");
    push_line(out, "| mechanism | limit | replacement |");
    push_line(out, "|---|---|---|");
    push_line(
        out,
        &format!(
            "| every host holds a status connection and a statement connection to every endpoint | {:.0} hosts at {ENDPOINT_CONNECTIONS:.0} connections per endpoint | serving hosts of a group; other hosts forward statements to them |",
            hosts / 2.0
        ),
    );
    push_line(
        out,
        &format!(
            "| every host probes every endpoint | {BUDGET_CPU_PERCENT} % of a core or {BUDGET_BYTES_PER_S:.0} bytes/s, from the slopes above | serving hosts of a group |"
        ),
    );
    push_line(
        out,
        "| every host keeps the whole configuration | memory above; not reached at the design size | none needed |",
    );
}
