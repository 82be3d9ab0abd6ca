//! The log's form and level, changeable in service: lines for people, or one JSON object a line with the event's
//! key-values.

use log::kv::{Key, Value, VisitSource};
use magpieline_operator_config::{text, Values};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether lines are JSON.
static JSON: AtomicBool = AtomicBool::new(false);

struct Pairs<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'a> VisitSource<'a> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), log::kv::Error> {
        let plain = value
            .to_u64()
            .map(serde_json::Value::from)
            .or_else(|| value.to_f64().map(Into::into));
        self.0.insert(
            key.to_string(),
            plain.unwrap_or_else(|| value.to_string().into()),
        );
        Ok(())
    }
}

/// One line of JSON.
fn object(record: &log::Record, at: f64) -> String {
    let mut all = serde_json::Map::new();
    all.insert("at".into(), at.into());
    all.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    all.insert("event".into(), record.args().to_string().into());
    // What can't be shown is left out; the event itself is there.
    let _ = record.key_values().visit(&mut Pairs(&mut all));
    serde_json::Value::Object(all).to_string()
}

/// Begins to log; `default` holds where RUST_LOG says nothing.
pub fn begin(default: &str) {
    let env = env_logger::Env::default().default_filter_or(default);
    let mut builder = env_logger::Builder::from_env(env);
    let human = env_logger::fmt::ConfigurableFormat::default();
    builder.format(move |out, record| {
        if JSON.load(Ordering::Relaxed) {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            return writeln!(
                out,
                "{}",
                object(record, now.map_or(0.0, |d| d.as_secs_f64()))
            );
        }
        human.format(out, record)
    });
    builder.init();
}

/// Takes what a version of the operators' file says; nothing said is as at the start.
pub fn choose(values: &Values) {
    JSON.store(text(values, "log.form") == Some("json"), Ordering::Relaxed);
    let level = text(values, "log.level").and_then(|l| l.parse().ok());
    log::set_max_level(level.unwrap_or(log::LevelFilter::Trace));
}

#[cfg(test)]
mod tests;
