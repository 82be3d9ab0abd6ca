//! Calls about the configuration: it is replaced and read.

use super::super::{Controller, ValidConfig, SETTLE_TIME};
use super::leadership::{commit, confirm_leadership, Plan};
use super::replies::{outcome_unknown, refusal, refuse, reply, Reply};
use super::request_body::RequestBody;
use crate::clock::{duration, now, Micros};
use bytes::Bytes;
use hyper::StatusCode;
use magpieline_config::diagnostic::Diagnostic;
use magpieline_control_plane::state_machine::{Command, Effect, StoredConfig};
use std::sync::Arc;
use tokio::time::timeout;

/// The time within which a configuration is to be acknowledged grows by this with each of its routes.
const RECEIPT_PER_ROUTE: Micros = 3_000;

/// The text of the configuration, shared with the replicated state: a reply holds no copy of it.
struct SharedText(Arc<str>);

impl AsRef<[u8]> for SharedText {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

/// What a check found of a configuration that an operator sent.
enum CheckedConfig {
    Valid(ValidConfig),
    /// An invalid one that was acknowledged under this version, by a release that checked less: whoever sends it again is told so
    /// again.
    Acknowledged(u64),
}

/// Parses and checks a configuration on a thread of its own: a long one takes longer than followers wait for their leader's next
/// heartbeat.
///
/// # Errors
///
/// The reply to a call whose configuration is invalid, or could not be checked.
async fn check_config(controller: &Arc<Controller>, body: Bytes) -> Result<CheckedConfig, Reply> {
    let controller = controller.clone();
    let check = move || {
        let text = std::str::from_utf8(&body).map_err(|_| {
            let found = "bytes that are no text";
            vec![Diagnostic::new("document", found, "JSON, whole")]
        })?;
        controller
            .validate(text)
            .map(CheckedConfig::Valid)
            .or_else(|diagnostics| {
                let known = controller.acknowledged_version(text);
                known.map(CheckedConfig::Acknowledged).ok_or(diagnostics)
            })
    };
    match tokio::task::spawn_blocking(check).await {
        Ok(Ok(checked)) => Ok(checked),
        Ok(Err(diagnostics)) => {
            tracing::warn!(target: "operator_api", "A configuration was refused: {}.", diagnostics[0]);
            Err(refusal(StatusCode::BAD_REQUEST, &diagnostics))
        }
        Err(_) => Err(outcome_unknown()),
    }
}

/// Waits until a committed configuration is in force at the proxies, for half of the time within which an order is to be acknowledged:
/// how long requests may go by the one before counts from the acknowledgement, and the links carry a long one for seconds. Returns
/// false if this controller no longer leads: what proxies have is not known here then.
async fn wait_until_distributed(controller: &Controller, version: u64, route_count: usize) -> bool {
    let receipt = controller.settings.borrow().guarantees.receipt;
    let patience = (receipt + RECEIPT_PER_ROUTE * route_count as Micros) / 2;
    let deadline = now() + patience;
    let (term, progress) = {
        let state = controller.state();
        (state.proxies.term(), state.config_progress.clone())
    };
    loop {
        let changed = progress.notified();
        let settled_at = {
            let state = controller.state();
            if term.is_none() || state.proxies.term() != term {
                return false;
            }
            let settled_at = state.led_since + SETTLE_TIME;
            let is_distributed = state.config_sender.is_distributed(version);
            if now() >= deadline || (is_distributed && now() >= settled_at) {
                return true;
            }
            settled_at
        };
        let until = if now() < settled_at {
            settled_at
        } else {
            deadline
        };
        let left = duration(until.min(deadline).saturating_sub(now()));
        let _ = timeout(left, changed).await;
    }
}

/// Replaces the configuration.
pub(super) async fn replace_config(
    controller: &Arc<Controller>,
    body: RequestBody,
    path: &str,
) -> Reply {
    let RequestBody { bytes, reservation } = body;
    let valid = match check_config(controller, bytes).await {
        Ok(CheckedConfig::Valid(valid)) => valid,
        Ok(CheckedConfig::Acknowledged(version)) => {
            return acknowledge_again(controller, version, path).await
        }
        Err(reply) => return reply,
    };
    let (version, route_count) = (valid.version, valid.route_count);
    let committed = commit_config(controller, valid, path).await;
    // Its text is held by the replicated state from here on.
    drop(reservation);
    let effect = match committed {
        Ok(effect) => effect,
        Err(reply) => return reply,
    };
    if !effect.is_accepted() || !wait_until_distributed(controller, version, route_count).await {
        return outcome_unknown();
    }
    tracing::info!(target: "operator_api", "Configuration {version} acknowledged: {effect:?}.");
    reply(StatusCode::OK, jzon::object! { edition: version }.dump())
}

/// Acknowledges a configuration that was acknowledged before, once a majority has confirmed that this controller still leads.
async fn acknowledge_again(controller: &Controller, version: u64, path: &str) -> Reply {
    match commit(controller, path, |_| Plan::Known(Effect::Duplicate)).await {
        Ok(_) => {
            tracing::warn!(
                target: "operator_api",
                "Configuration {version} acknowledged again, as it was before; by today's checks it is invalid."
            );
            reply(StatusCode::OK, jzon::object! { edition: version }.dump())
        }
        Err(reply) => reply,
    }
}

/// Has a valid configuration committed.
///
/// # Errors
///
/// The reply to a call whose document is refused, or may be committed or not.
async fn commit_config(
    controller: &Controller,
    valid: ValidConfig,
    path: &str,
) -> Result<Effect, Reply> {
    let (version, digest) = (valid.version, valid.digest);
    let plan = |controller: &Controller| match controller
        .state()
        .control
        .known_outcome(version, &digest)
    {
        Some(effect) => Plan::Known(effect),
        None => Plan::Propose(Command::ReplaceConfig(StoredConfig {
            version,
            text: valid.text.clone(),
        })),
    };
    match commit(controller, path, plan).await? {
        Effect::VersionConflict(known) => {
            tracing::warn!(
                target: "operator_api",
                "Configuration {version} was refused: another document has its version."
            );
            let found = format!("{version} for a document of sha256 {digest}");
            let expected =
                format!("the one of sha256 {known} under this number, or a higher number");
            Err(refuse(StatusCode::CONFLICT, "edition", &found, &expected))
        }
        effect => Ok(effect),
    }
}

/// Returns the newest configuration.
pub(super) async fn read_config(controller: &Controller, path: &str) -> Reply {
    if let Some(reply) = confirm_leadership(controller, path).await {
        return reply;
    }
    match controller.state().control.config.clone() {
        Some(config) => reply(StatusCode::OK, Bytes::from_owner(SharedText(config.text))),
        None => refuse(
            StatusCode::NOT_FOUND,
            "edition",
            "none yet",
            "one that was sent",
        ),
    }
}
