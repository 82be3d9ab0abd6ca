//! What an agent is told at its start: the environment names the configuration, that holds the rest.

use crate::life::levels::Means;
use crate::life::record::Record;
use crate::life::resp;
use crate::wire::place::Around;
use crate::wire::{list, nodes, platform};
use magpieline::interface::Value;
use magpieline::names::{self, Message};
use magpieline_dispatch::{Chosen, Exchange, Looks};
use magpieline_operator_config::{number, text, Schema, Setting, Values};
use magpieline_sequential_test::Terms;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What the configuration says.
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: String,
    pub platform: String,
    /// How many descriptors the process may hold.
    pub descriptors: usize,
    seed: u64,
    body: Json,
    /// What the operators chose; nothing without their file.
    pub values: Values,
}

/// Reads an operators' file; an error lists all that is wrong with it.
pub fn operators(path: &Path) -> Result<Values, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("{}: could not be read: {e}", path.display()))?;
    Schema::bundled().check(&text).map_err(|all| {
        let lines = all.iter().map(|c| format!("{}: {c}", path.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

/// The rates that these choices state, if any.
pub fn terms(chosen: &Chosen) -> Result<Option<Terms>, String> {
    names::stated(&chosen.named)
}

/// Hands values to those whom they concern.
pub fn chosen(values: &Values) -> Chosen {
    let clients = number(values, "transport.client_connections").map(|most| most as usize); // bounded by the schema
    let mut chosen = Chosen {
        clients,
        ..Chosen::default()
    };
    for (name, setting) in values
        .iter()
        .filter(|(name, _)| name.starts_with("verdict."))
    {
        match setting {
            Setting::Text(_) if name == "verdict.record" => {}
            Setting::Text(text) => {
                drop(chosen.named.insert(name.clone(), Value::Text(text.clone())))
            }
            Setting::Number(number) => {
                drop(chosen.named.insert(name.clone(), Value::Number(*number)))
            }
            Setting::Flag(flag) => drop(chosen.named.insert(name.clone(), Value::Flag(*flag))),
        }
    }
    chosen
}

/// Opens the record of looks that is named, if one is.
pub fn looks(values: &Values) -> Result<Option<Looks>, String> {
    text(values, "verdict.record")
        .map(|path| Record::looks(&path.into()))
        .transpose()
}

/// Where clients of an element's front are listened for; nothing without the element.
pub fn listens(values: &Values, element: &str) -> Result<Option<SocketAddr>, String> {
    let Some(listen) = text(values, &format!("{element}.listen")) else {
        return Ok(None);
    };
    let wrong = |_| format!("{element}/@listen: found '{listen}', expected an address and a port");
    listen.parse().map(Some).map_err(wrong)
}

fn address(what: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{what}: expected an address and a port, not '{text}'"))
}

/// The configuration that is named, or that the environment names.
pub fn named(path: Option<PathBuf>) -> Result<PathBuf, String> {
    let variable = || std::env::var_os("GW_CONFIG").map(PathBuf::from);
    path.or_else(variable)
        .ok_or_else(|| "GW_CONFIG: expected the path of a configuration".into())
}

/// Reads a configuration as it stands in its file.
pub fn file(path: &Path) -> Result<Start, String> {
    let told = |e: String| format!("{}: {e}", path.display());
    let text = std::fs::read(path).map_err(|e| told(format!("could not be read: {e}")))?;
    let body = serde_json::from_slice(&text).map_err(|e| told(format!("expected JSON: {e}")))?;
    Start::parse(body).map_err(told)
}

/// Reads the configuration for a start, and the operators' file where there is one.
pub fn read(path: &Path, file_of_operators: Option<&Path>) -> Result<Start, String> {
    let mut start = file(path)?;
    if let Some(file) = file_of_operators {
        start.values = operators(file)?;
    }
    // The environment says the same; where it differs it is the nearer word.
    let variable = |name: &str| match std::env::var(name) {
        Ok(value) => address(name, &value).map(Some),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(_) => Err(format!("{name}: expected an address and a port")),
    };
    start.listen = variable("GW_LISTEN")?.unwrap_or(start.listen);
    start.discovery = variable("GW_DISCOVERY")?.map_or(start.discovery, |a| a.to_string());
    Ok(start)
}

impl Start {
    fn parse(body: Json) -> Result<Start, String> {
        let all = Message {
            name: "configuration",
            body: &body,
        };
        let deployer = Message {
            name: "deployer",
            body: all.needed("deployer", "an object")?,
        };
        let limits = Message {
            name: "limits",
            body: all.needed("limits", "an object")?,
        };
        let seed = all.text("seed")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| all.wrong("seed", "up to 16 hexadecimal digits"))?;
        Ok(Start {
            name: all.text("name")?.to_owned(),
            listen: address("configuration: listen", all.text("listen")?)?,
            discovery: address("configuration: discovery", all.text("discovery")?)?.to_string(),
            platform: address("deployer: address", deployer.text("address")?)?.to_string(),
            descriptors: limits.whole("sockets")? as usize,
            seed,
            body,
            values: Values::new(),
        })
    }

    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// What the process may use; a limit that is not stated is one core, and no bound on memory.
    pub fn means(&self) -> Means {
        let of = |name: &str| {
            self.body
                .get("limits")
                .and_then(|l| l.get(name))
                .and_then(Json::as_f64)
        };
        Means {
            cores: of("cores").filter(|c| *c > 0.0).unwrap_or(1.0),
            descriptors: (self.descriptors as f64).max(1.0),
            memory: of("memory_mb").unwrap_or(0.0) * 1024.0 * 1024.0,
        }
    }

    /// The settings of the deployment.
    pub fn settings(&self) -> Result<&Json, String> {
        Message {
            name: "configuration",
            body: &self.body,
        }
        .needed("settings", "an object of settings")
    }

    /// The partners that the configuration names.
    pub fn around(&self) -> Result<Around, String> {
        Ok(Around::new(
            self.discovery.clone(),
            self.platform.clone(),
            self.settings()?,
        ))
    }

    /// The exchange, told what the configuration knows.
    pub fn exchange(&self, around: &Around) -> Result<Exchange, String> {
        let login = resp::login(&self.values)?;
        let (info, ways) = (
            self.settings()?,
            nodes::ways(around.times.clone(), login, self.seed),
        );
        let exchange = Exchange::new(
            self.seed,
            info,
            &chosen(&self.values),
            looks(&self.values)?,
            ways,
        )
        .map_err(|e| format!("settings: {e}"))?;
        if let Some(known) = self.body.get("known").filter(|k| !k.is_null()) {
            let rev = list::take(&exchange, known, false).map_err(|e| format!("known: {e}"))?;
            around.list_held.set(Some(rev));
        }
        let news = self
            .body
            .get("deployer")
            .and_then(|d| d.get("news"))
            .and_then(Json::as_object);
        if let Some(news) = news.filter(|n| !n.is_empty()) {
            let plain = |v: &Json| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
            let fields = news
                .iter()
                .map(|(name, value)| (name.clone(), plain(value)))
                .collect();
            exchange.heard(platform::news(&fields).map_err(|e| format!("deployer: {e}"))?);
        }
        Ok(exchange)
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use crate::testing::SETTINGS;

    fn body() -> Json {
        serde_json::json!({"name": "n1", "listen": "127.0.0.1:3000", "discovery": "127.0.0.1:8500",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "deployer": {"address": "127.0.0.1:6400", "news": {"image": 41, "ring": 3, "progress": "COMPLETE",
                "ceiling": 1.0, "lag_ms": 100}},
            "known": {"rev": 1, "all": true, "targets": [{"uid": "s", "endpoint": "127.0.0.1:1", "build": 41,
                "state": "ready", "az": "a", "boot_ms": 0}]},
            "settings": serde_json::from_str::<Json>(SETTINGS).unwrap()})
    }

    /// A configuration with these addresses of discovery and platform.
    pub fn body_at(discovery: &str, platform: &str) -> Json {
        let mut body = body();
        body["discovery"] = discovery.into();
        body["deployer"]["address"] = platform.into();
        body
    }

    /// What the start says once a field has another value.
    fn complaint(pointer: &str, value: Json) -> String {
        let mut body = body();
        *body.pointer_mut(pointer).expect("a field") = value;
        let started = Start::parse(body).and_then(|s| s.exchange(&s.around()?).map(|_| ()));
        started.expect_err("a complaint")
    }

    #[test]
    fn a_whole_configuration_starts_with_its_list_and_news() {
        crate::testing::run(async {
            let start = Start::parse(body()).expect("a start");
            assert_eq!((start.name.as_str(), start.descriptors), ("n1", 1024));
            let exchange = start
                .exchange(&start.around().expect("partners"))
                .expect("an exchange");
            assert!(exchange.ready());
            assert_eq!(exchange.nodes_known(), 1);
        });
    }

    #[test]
    fn defaults_of_the_schema_are_those_that_the_decisions_take() {
        let values = Schema::bundled()
            .check("<magpieline><verdict/></magpieline>")
            .expect("a file");
        let chosen = chosen(&values);
        let terms = terms(&chosen).expect("terms").expect("stated");
        assert_eq!(terms, magpieline_sequential_test::Terms::default());
        assert!(
            Schema::bundled()
                .check("<magpieline/>")
                .expect("a file")
                .is_empty(),
            "nothing without its element"
        );
    }

    #[test]
    fn the_file_in_deploy_is_good() {
        let values = Schema::bundled()
            .check(include_str!("../../../../deploy/magpieline.xml"))
            .expect("a good file");
        assert_eq!(
            values.get("verdict.shows_after_s"),
            Some(&Setting::Number(12.0))
        );
    }

    #[test]
    fn what_is_wrong_is_named_with_what_was_expected() {
        for (pointer, value, told) in [
            (
                "/seed",
                "no".into(),
                "configuration: seed: expected up to 16 hexadecimal digits",
            ),
            (
                "/listen",
                "x".into(),
                "configuration: listen: expected an address and a port, not 'x'",
            ),
            (
                "/limits",
                Json::Null,
                "configuration: limits: expected an object",
            ),
            (
                "/deployer/address",
                7.into(),
                "deployer: address: expected text",
            ),
            (
                "/deployer/news/progress",
                "odd".into(),
                "deployer: news: progress: expected a phase",
            ),
            (
                "/known/targets/0/state",
                "odd".into(),
                "known: list: targets: state: expected ready, draining or gone",
            ),
            (
                "/settings/classes/0/repeat",
                "odd".into(),
                "settings: classes.0.repeat: expected retryable, dedup or fragile",
            ),
            (
                "/settings/classes",
                Json::Null,
                "settings: classes: expected at least one",
            ),
        ] {
            assert_eq!(complaint(pointer, value), told);
        }
        let missing = read(Path::new("/nowhere/at/all"), None)
            .err()
            .unwrap_or_default();
        assert!(
            missing.starts_with("/nowhere/at/all: could not be read"),
            "{missing}"
        );
    }
}
