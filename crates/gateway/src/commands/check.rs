//! Checks files: a machine's settings (TOML) or a configuration (JSON), told apart by how they begin.

use super::tables::{columns, join, pairs};
use super::{print, ExitStatus};
use crate::memory::{self, MEGABYTE};
use jzon::JsonValue as Json;
use magpieline_config::diagnostic::Diagnostic;
use magpieline_config::durations;
use magpieline_config::gateway_config::GatewayConfig;
use magpieline_config::node_settings::{NodeSettings, ParsedSettings};
use magpieline_config::route_table::{Idempotency, Route};
use magpieline_memory_budget::Purpose;
use std::io::Read;

#[derive(gumdrop::Options)]
pub(super) struct Options {
    #[options(help = "prints this")]
    help: bool,
    #[options(free, required, help = "the files; - is standard input")]
    files: Vec<String>,
    #[options(
        help = "takes them for `settings` or `configuration`, however they begin",
        meta = "KIND"
    )]
    kind: Option<Kind>,
    #[options(help = "lists a configuration's routes, too")]
    routes: bool,
    #[options(help = "as JSON, one line a file")]
    json: bool,
}

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A machine's settings.
    Settings,
    /// What operators send to the controllers.
    Configuration,
}

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        match text {
            "settings" => Ok(Kind::Settings),
            "configuration" => Ok(Kind::Configuration),
            other => Err(format!(
                "found '{other}', expected settings or configuration"
            )),
        }
    }
}

impl Kind {
    /// A configuration is a JSON object; no TOML file begins like one.
    fn of(text: &str) -> Kind {
        match text.trim_start().starts_with('{') {
            true => Kind::Configuration,
            false => Kind::Settings,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Kind::Settings => "settings",
            Kind::Configuration => "configuration",
        }
    }
}

pub(super) fn run(options: &Options) -> Result<ExitStatus, String> {
    let mut sound = true;
    for file in &options.files {
        let (shown, good) = match read_file(file) {
            Ok(text) => {
                let kind = options.kind.unwrap_or(Kind::of(&text));
                let report = check(&text, kind, options.routes);
                (
                    if options.json {
                        report.to_json(file)
                    } else {
                        report.to_text(file)
                    },
                    report.diagnostics.is_empty(),
                )
            }
            Err(e) => {
                eprintln!("{file}: can't be read: {e}");
                let wrong =
                    jzon::object! { file: file.as_str(), sound: false, unreadable: e.to_string() };
                (
                    if options.json {
                        format!("{}\n", wrong.dump())
                    } else {
                        String::new()
                    },
                    false,
                )
            }
        };
        sound &= good;
        print(&shown);
    }
    Ok(sound.into())
}

/// Reads a file, or standard input for `-`.
pub(super) fn read_file(file: &str) -> std::io::Result<String> {
    if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    std::fs::read_to_string(file)
}

/// What a check has found.
struct Report {
    kind: Kind,
    diagnostics: Vec<Diagnostic>,
    /// What is valid, and hardly what was meant.
    notes: Vec<String>,
    /// What is not read: fields that are unknown here, and entries of lists.
    skipped: Vec<String>,
    summary: Vec<(&'static str, String)>,
    json: Json,
    /// A table of routes, if it was asked for.
    routes: String,
}

fn check(text: &str, kind: Kind, routes: bool) -> Report {
    let mut report = Report {
        kind,
        diagnostics: Vec::new(),
        notes: Vec::new(),
        skipped: Vec::new(),
        summary: Vec::new(),
        json: Json::Null,
        routes: String::new(),
    };
    match kind {
        Kind::Settings => match NodeSettings::parse_naming_skipped(text) {
            Ok(ParsedSettings { settings, skipped }) => {
                report.summary = settings_lines(&settings);
                report.json = settings_json(&settings);
                report.skipped = skipped;
            }
            Err(diagnostics) => report.diagnostics = diagnostics,
        },
        Kind::Configuration => match GatewayConfig::parse_collecting_all(text) {
            Ok(config) => {
                (report.summary, report.json) = (config_lines(&config), config_json(&config));
                report.notes = notes(&config);
                if routes {
                    report.routes = route_table(&config);
                }
            }
            Err(diagnostics) => report.diagnostics = diagnostics,
        },
    }
    report
}

impl Report {
    fn to_text(&self, file: &str) -> String {
        let what = match self.kind {
            Kind::Settings => "a machine's settings",
            Kind::Configuration => "a configuration",
        };
        let verdict = match self.diagnostics.len() {
            0 => "sound".to_owned(),
            1 => "1 complaint".to_owned(),
            many => format!("{many} complaints"),
        };
        let mut text = format!("{file}: {what}, {verdict}\n");
        self.diagnostics
            .iter()
            .for_each(|complaint| text.push_str(&format!("  {complaint}\n")));
        text.push_str(&pairs(&self.summary, "  "));
        self.notes
            .iter()
            .for_each(|note| text.push_str(&format!("  note: {note}\n")));
        if !self.skipped.is_empty() {
            text.push_str(&format!("  skipped: {}\n", self.skipped.join(", ")));
        }
        text.push_str(&self.routes);
        text
    }

    fn to_json(&self, file: &str) -> String {
        let sound = self.diagnostics.is_empty();
        let shown = jzon::object! {
            file: file, kind: self.kind.name(), sound: sound, complaints: complaints(&self.diagnostics),
            notes: self.notes.clone(), skipped: self.skipped.clone(), summary: self.json.clone()
        };
        format!("{}\n", shown.dump())
    }
}

/// Returns diagnostics as JSON.
pub(super) fn complaints(diagnostics: &[Diagnostic]) -> Vec<Json> {
    let shown = |c: &Diagnostic| {
        jzon::object! { place: c.path.as_str(), found: c.found.as_str(), expected: c.expected.as_str() }
    };
    diagnostics.iter().map(shown).collect()
}

fn settings_lines(settings: &NodeSettings) -> Vec<(&'static str, String)> {
    let posts: Vec<String> = settings
        .listen_addresses
        .iter()
        .map(|(name, at)| format!("{name} {at}"))
        .collect();
    let seeds: Vec<String> = settings
        .controller_seeds
        .iter()
        .map(|s| s.to_string())
        .collect();
    let zones: Vec<String> = settings
        .zones
        .iter()
        .map(|(zone, region)| format!("{zone} ({region})"))
        .collect();
    let terms: Vec<String> = guarantees(settings)
        .into_iter()
        .map(|(name, v)| format!("{name} {v}"))
        .collect();
    let platform = match settings.platform.address {
        Some(at) => {
            format!(
                "{at}, {} calls a second, {} behind",
                settings.platform.calls_per_second,
                durations::format(settings.platform.lag)
            )
        }
        None => "none".into(),
    };
    vec![
        ("node", settings.node.clone()),
        ("class", settings.machine_class.clone()),
        ("zone", format!("{} ({})", settings.zone, settings.region)),
        ("runs", join(&roles(settings))),
        (
            "inner",
            format!(
                "{}:{} to {}",
                settings.ip, settings.agent_ports.0, settings.agent_ports.1
            ),
        ),
        ("posts", join(&posts)),
        (
            "store",
            settings.store_dir.clone().unwrap_or_else(|| "none".into()),
        ),
        ("first run", settings.first_run.to_string()),
        ("seeds", join(&seeds)),
        ("platform", platform),
        ("zones", join(&zones)),
        (
            "bounds",
            format!(
                "{} MB of memory, {} descriptors, {} MB of disk",
                settings.memory_mb, settings.max_descriptors, settings.disk_mb
            ),
        ),
        ("bodies", body_memory(settings)),
        (
            "withstands",
            format!("the loss of {}", settings.tolerated_machines),
        ),
        ("terms", terms.join(", ")),
    ]
}

/// Returns how much of the memory is for bodies.
fn body_memory(settings: &NodeSettings) -> String {
    let limits = memory::limits(settings.memory_mb);
    format!(
        "{} MB of memory in all, {} MB for long requests, {} MB for long responses",
        limits.total() / MEGABYTE,
        limits.large(Purpose::Request) / MEGABYTE,
        limits.large(Purpose::Response) / MEGABYTE
    )
}

fn settings_json(settings: &NodeSettings) -> Json {
    let mut posts = Json::new_object();
    settings
        .listen_addresses
        .iter()
        .for_each(|(name, at)| drop(posts.insert(name, at.to_string())));
    let mut terms_shown = Json::new_object();
    guarantees(settings)
        .into_iter()
        .for_each(|(name, value)| drop(terms_shown.insert(name, value)));
    jzon::object! {
        node: settings.node.as_str(), class: settings.machine_class.as_str(), zone: settings.zone.as_str(),
        region: settings.region.as_str(), runs: roles(settings), ip: settings.ip.to_string(),
        inner_ports: [settings.agent_ports.0, settings.agent_ports.1], posts: posts,
        store: settings.store_dir.as_deref(), first_run: settings.first_run,
        seeds: settings.controller_seeds.iter().map(|s| s.to_string()).collect::<Vec<_>>(),
        platform: settings.platform.address.map(|a| a.to_string()),
        zones: settings.zones.keys().map(String::as_str).collect::<Vec<_>>(),
        memory_mb: settings.memory_mb, body_bytes_in_all: memory::limits(settings.memory_mb).total(), descriptors: settings.max_descriptors, disk_mb: settings.disk_mb,
        withstand: settings.tolerated_machines, terms: terms_shown
    }
}

/// Returns the roles that a machine with these settings can run.
fn roles(settings: &NodeSettings) -> Vec<&'static str> {
    let posts = settings.listen_addresses;
    let mut roles = Vec::new();
    if posts.front.is_some() && posts.ready.is_some() {
        roles.push("proxy");
    }
    if posts.control.is_some() && settings.store_dir.is_some() {
        roles.push("controller");
    }
    roles
}

fn guarantees(settings: &NodeSettings) -> Vec<(&'static str, String)> {
    let t = &settings.guarantees;
    let time = |micros| durations::format(micros);
    vec![
        ("seed_lag", time(t.seed_lag)),
        ("reuse_after", time(t.reuse_after)),
        ("contact", time(t.contact)),
        ("receipt", time(t.receipt)),
        ("catch_up", time(t.catch_up)),
        ("drain", time(t.drain)),
        ("grace", time(t.grace)),
        ("edition_time", time(t.edition_time)),
        ("outer", time(t.outer)),
        ("retry_ratio", t.retry_ratio.to_string()),
        ("retry_window", time(t.retry_window)),
        ("retry_slack", t.retry_slack.to_string()),
        ("expose_share", t.expose_share.to_string()),
        ("expose_slack", t.expose_slack.to_string()),
        ("recall", time(t.recall)),
    ]
}

/// Returns all routes, by host and prefix.
fn sorted_routes(config: &GatewayConfig) -> Vec<(&str, &Route)> {
    let mut all: Vec<(&str, &Route)> = config
        .routes()
        .iter()
        .map(|(host, route)| (host, &**route))
        .collect();
    all.sort_by(|a, b| (a.0, &a.1.prefix).cmp(&(b.0, &b.1.prefix)));
    all
}

fn idempotency_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::NonIdempotent => "unsafe",
    }
}

struct Counts {
    hosts: Vec<String>,
    all: usize,
    safe: usize,
    split: usize,
}

fn counts(config: &GatewayConfig) -> Counts {
    let routes = sorted_routes(config);
    let mut hosts: Vec<String> = routes.iter().map(|(host, _)| (*host).to_owned()).collect();
    hosts.dedup();
    Counts {
        hosts,
        all: routes.len(),
        safe: routes
            .iter()
            .filter(|(_, r)| r.idempotency == Idempotency::Idempotent)
            .count(),
        split: routes
            .iter()
            .filter(|(_, r)| r.destinations.len() > 1)
            .count(),
    }
}

fn services_by_name(
    config: &GatewayConfig,
) -> Vec<&magpieline_config::gateway_config::ServiceConfig> {
    let mut services: Vec<_> = config.services.values().collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    services
}

/// Counts the routes that go to a service, at least in part.
fn routes_to(config: &GatewayConfig, service: &str) -> usize {
    config
        .routes()
        .iter()
        .filter(|(_, r)| r.destinations.iter().any(|p| &*p.service == service))
        .count()
}

/// Returns names and values of a configuration, for people.
pub(super) fn config_lines(config: &GatewayConfig) -> Vec<(&'static str, String)> {
    let (counts, allowed) = (counts(config), config.client_limits);
    let services: Vec<String> = services_by_name(config)
        .iter()
        .map(|f| {
            let cap = if f.max_connections == u32::MAX {
                "any number of".into()
            } else {
                f.max_connections.to_string()
            };
            let routes = match routes_to(config, &f.name) {
                1 => "1 route".into(),
                many => format!("{many} routes"),
            };
            format!(
                "{} ({routes}, {cap} connections an appliance, {})",
                f.name, f.health_path
            )
        })
        .collect();
    vec![
        ("edition", config.version.to_string()),
        ("hosts", join(&counts.hosts)),
        (
            "routes",
            format!(
                "{}: {} safe, {} unsafe, {} of them split",
                counts.all,
                counts.safe,
                counts.all - counts.safe,
                counts.split
            ),
        ),
        ("services", join(&services)),
        (
            "allowances",
            format!(
                "header_bytes {}, body_bytes {}, header {}, idle {}",
                allowed.header_bytes,
                allowed.body_bytes,
                durations::format(allowed.header_timeout),
                durations::format(allowed.idle_timeout)
            ),
        ),
    ]
}

/// Returns a configuration as JSON.
fn config_json(config: &GatewayConfig) -> Json {
    let (counts, allowed) = (counts(config), config.client_limits);
    let services: Vec<Json> = services_by_name(config)
        .iter()
        .map(|f| {
            jzon::object! { name: &*f.name, routes: routes_to(config, &f.name), conn_cap: f.max_connections,
            health_path: f.health_path.as_str() }
        })
        .collect();
    jzon::object! {
        edition: config.version,
        hosts: counts.hosts,
        routes: jzon::object! { all: counts.all, safe: counts.safe, unsafe: counts.all - counts.safe,
            split: counts.split },
        services: services,
        allowances: jzon::object! { header_bytes: allowed.header_bytes, body_bytes: allowed.body_bytes,
            header: durations::format(allowed.header_timeout), idle: durations::format(allowed.idle_timeout) }
    }
}

/// Formats a configuration's routes as a table.
pub(super) fn route_table(config: &GatewayConfig) -> String {
    let head = [
        "host",
        "prefix",
        "route",
        "sort",
        "to",
        "target",
        "give_up",
        "tries",
        "precedence",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for (host, route) in sorted_routes(config) {
        let all: f64 = route.destinations.iter().map(|p| p.weight).sum();
        let to: Vec<String> = match &route.destinations[..] {
            [one] => vec![one.service.to_string()],
            parts => parts
                .iter()
                .map(|p| format!("{} {:.0}%", p.service, 100.0 * p.weight / all))
                .collect(),
        };
        rows.push(vec![
            host.to_owned(),
            route.prefix.clone(),
            route.name.to_string(),
            idempotency_name(route.idempotency).to_owned(),
            join(&to),
            durations::format(route.latency_target),
            durations::format(route.timeout),
            route.max_attempts.to_string(),
            route.precedence.to_string(),
        ]);
    }
    columns(&rows, "  ")
}

/// Returns notes on what a configuration may say, and hardly means.
fn notes(config: &GatewayConfig) -> Vec<String> {
    let unmet = |prefix: &str| !prefix.starts_with('/') || !prefix.ends_with('/');
    let prefixes = sorted_routes(config)
        .into_iter()
        .filter(|(_, route)| unmet(&route.prefix));
    let mut notes: Vec<String> = prefixes
        .map(|(host, r)| {
            format!(
                "route {} of {host} is never met: its prefix is '{}', expected one that begins and ends with /",
                r.name, r.prefix
            )
        })
        .collect();
    let idle = services_by_name(config)
        .into_iter()
        .filter(|f| routes_to(config, &f.name) == 0);
    notes.extend(idle.map(|f| format!("service {}: no route goes to it", f.name)));
    notes
}
