//! What an agent is told at its start: the environment names the configuration, that holds the rest.

use crate::memory::exchange::Exchange;
use crate::wire::{list, platform};
use magpieline::names::Message;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What the configuration says.
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: String,
    pub platform: String,
    seed: u64,
    body: Json,
}

fn address(what: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what}: expected an address and a port, not '{text}'"))
}

/// Reads the configuration that is named, or that the environment names.
pub fn read(path: Option<PathBuf>) -> Result<Start, String> {
    let path = match path {
        Some(path) => path,
        None => {
            std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG: expected the path of a configuration")?.into()
        }
    };
    let told = |e: String| format!("{}: {e}", path.display());
    let text = std::fs::read(&path).map_err(|e| told(format!("could not be read: {e}")))?;
    let body = serde_json::from_slice(&text).map_err(|e| told(format!("expected JSON: {e}")))?;
    let mut start = Start::parse(body).map_err(told)?;
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
        let all = Message { name: "configuration", body: &body };
        let deployer = Message { name: "deployer", body: all.needed("deployer", "an object")? };
        let seed = all.text("seed")?;
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| all.wrong("seed", "up to 16 hexadecimal digits"))?;
        Ok(Start {
            name: all.text("name")?.to_owned(),
            listen: address("configuration: listen", all.text("listen")?)?,
            discovery: address("configuration: discovery", all.text("discovery")?)?.to_string(),
            platform: address("deployer: address", deployer.text("address")?)?.to_string(),
            seed,
            body,
        })
    }

    /// The exchange, told what the configuration knows.
    pub fn exchange(&self) -> Result<Exchange, String> {
        let all = Message { name: "configuration", body: &self.body };
        let info = all.needed("settings", "an object of settings")?;
        let exchange =
            Exchange::new(self.seed, info, self.platform.clone()).map_err(|e| format!("settings: {e}"))?;
        if let Some(known) = self.body.get("known").filter(|k| !k.is_null()) {
            list::take(&exchange, known, false).map_err(|e| format!("known: {e}"))?;
        }
        let news = self.body.get("deployer").and_then(|d| d.get("news")).and_then(Json::as_object);
        if let Some(news) = news.filter(|n| !n.is_empty()) {
            let plain = |v: &Json| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
            let fields = news.iter().map(|(name, value)| (name.clone(), plain(value))).collect();
            exchange.heard(platform::news(&fields).map_err(|e| format!("deployer: {e}"))?);
        }
        Ok(exchange)
    }
}
