//! Who answers a call: the leader, once a majority has confirmed it, and what becomes of an order.

use super::super::leader_redirect::{target, Target};
use super::super::raft_driver::RequestError;
use super::super::Controller;
use super::replies::{no_leader, not_committed_in_time, not_known_yet, redirect_to, Reply};
use crate::clock::{duration, now, sleep, Micros};
use magpieline_control_plane::state_machine::{Command, Effect};
use tokio::time::timeout;

/// Callers go to another controller after a second of silence; until then a leader may be found.
pub(super) const ANSWER_TIMEOUT: Micros = 800_000;
/// Between two attempts to have a command committed, where nothing was done at the first.
const RETRY_INTERVAL: Micros = 20_000;
/// Between two attempts to confirm that this controller leads.
const CONFIRM_INTERVAL: Micros = 5_000;

/// Sends a caller to the leader, or asks it to come back; none if this controller answers.
pub(super) async fn redirect(
    controller: &Controller,
    path: &str,
    deadline: Micros,
) -> Option<Reply> {
    loop {
        match target(&controller.raft.leader_view(), now(), deadline) {
            Target::Local => return None,
            Target::Redirect(leader) => return Some(redirect_to(controller, leader, path)),
            Target::Unavailable => return Some(no_leader()),
            Target::Wait(then) => controller.raft.leader_changed(then).await,
        }
    }
}

/// What has to be done for an order, as far as the leader knows now.
pub(super) enum Plan {
    /// It was accepted, or refused, before; that stays so.
    Known(Effect),
    /// It is to be proposed.
    Propose(Command),
    /// Whether it was accepted before can't be told before this instant; nothing is to be done.
    Unclear {
        /// On the monotonic clock.
        until: Micros,
    },
}

/// Returns what became of an order: what applying its command did, at its own position in the log, or what was known before, once
/// a majority has confirmed that this controller still leads.
///
/// # Errors
///
/// The reply to a call whose order may be committed or not, or for which nothing was done.
pub(super) async fn commit(
    controller: &Controller,
    path: &str,
    plan: impl Fn(&Controller) -> Plan,
) -> Result<Effect, Reply> {
    let deadline = now() + ANSWER_TIMEOUT;
    loop {
        if let Some(reply) = redirect(controller, path, deadline).await {
            return Err(reply);
        }
        let left = duration(deadline.saturating_sub(now()));
        let outcome = match plan(controller) {
            Plan::Known(effect) => timeout(left, confirm(controller, effect)).await,
            Plan::Propose(command) => timeout(left, controller.propose(command)).await,
            Plan::Unclear { until } => return Err(not_known_yet(until.saturating_sub(now()))),
        };
        match outcome {
            // Nothing was done, and more is known now.
            Ok(Ok(Effect::Overtaken)) if now() < deadline => {}
            Ok(Ok(effect)) => return Ok(effect),
            // Nothing was done. Who leads now is asked again.
            Ok(Err(RequestError::NotAccepted)) if now() + RETRY_INTERVAL < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            Ok(Err(_)) | Err(_) => return Err(not_committed_in_time()),
        }
    }
}

async fn confirm(controller: &Controller, effect: Effect) -> Result<Effect, RequestError> {
    controller.raft.read_barrier().await.map(|()| effect)
}

/// Makes sure that what is read here is the newest; the reply where that can't be.
pub(super) async fn confirm_leadership(controller: &Controller, path: &str) -> Option<Reply> {
    let deadline = now() + ANSWER_TIMEOUT;
    loop {
        if let Some(reply) = redirect(controller, path, deadline).await {
            return Some(reply);
        }
        let left = duration(deadline.saturating_sub(now()));
        if let Ok(Ok(())) = timeout(left, controller.raft.read_barrier()).await {
            return None;
        }
        if now() >= deadline {
            return Some(not_committed_in_time());
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}
