//! Calls about rollouts: an order to begin one, and how far it is.

use super::super::Controller;
use super::leadership::{commit, confirm_leadership, redirect, Plan, ANSWER_TIMEOUT};
use super::replies::{bad_request, outcome_unknown, refuse, reply, unavailable, Reply};
use crate::clock::{now, time_of_day, Micros};
use bytes::Bytes;
use hyper::StatusCode;
use jzon::JsonValue as Json;
use magpieline_config::durations;
use magpieline_control_plane::deduplication::{Arrival, OrderContent, OrderIdentity};
use magpieline_control_plane::state_machine::{Effect, Phase};

/// A rollout order as its caller wrote it.
struct RolloutOrder {
    service: String,
    target_version: String,
    within: Micros,
}

impl RolloutOrder {
    fn parse(body: &Bytes) -> Result<RolloutOrder, Box<Reply>> {
        let order = std::str::from_utf8(body)
            .ok()
            .and_then(|text| jzon::parse(text).ok());
        let Some(order) = order.filter(Json::is_object) else {
            return Err(Box::new(bad_request("document", "no JSON", "an object")));
        };
        let text = |name: &str| {
            let value = order[name].as_str().filter(|value| !value.is_empty());
            value
                .map(str::to_owned)
                .ok_or_else(|| Box::new(bad_request(name, "nothing", "a text")))
        };
        let service = text("service")?;
        let target_version = text("to_edition")?;
        let within = order["within"]
            .as_str()
            .and_then(durations::parse)
            .filter(|within| *within > 0);
        let Some(within) = within else {
            let found = order["within"].dump();
            return Err(Box::new(bad_request(
                "within",
                &found,
                "a time above 0 such as 12s",
            )));
        };
        Ok(RolloutOrder {
            service,
            target_version,
            within,
        })
    }

    fn content(&self) -> OrderContent<'_> {
        OrderContent {
            service: &self.service,
            target_version: &self.target_version,
            within: self.within,
        }
    }
}

pub(super) async fn begin_rollout(controller: &Controller, body: &Bytes, path: &str) -> Reply {
    let order = match RolloutOrder::parse(body) {
        Ok(order) => order,
        Err(reply) => return *reply,
    };
    // An order may have lain in a suspended process until long after its time, and one that resumes doesn't lead: so only a
    // controller that leads when it arrives accepts it.
    if !controller.raft.holds_lease() {
        let elsewhere = redirect(controller, path, now() + ANSWER_TIMEOUT).await;
        return elsewhere.unwrap_or_else(|| unavailable("leader", "a new one", "ask again"));
    }
    // Copies are told from new orders by when they arrived, not by how long a commit took.
    let arrival = Arrival {
        at: now(),
        time_of_day: time_of_day(),
    };
    let receipt = controller.settings.borrow().guarantees.receipt;
    let plan = |controller: &Controller| {
        let state = &mut *controller.state();
        let clock = &mut state.acceptance_clock;
        match clock.identify(&state.control, arrival, order.content(), receipt) {
            OrderIdentity::Known(command) => Plan::Propose(command),
            OrderIdentity::Unclear { until } => Plan::Unclear { until },
        }
    };
    let effect = match commit(controller, path, plan).await {
        Ok(effect) => effect,
        Err(reply) => return reply,
    };
    match &effect {
        Effect::RolloutConflict(other) => {
            let within = durations::format(other.within);
            let found = format!(
                "a rollout to {} within {within} under way",
                other.target_version
            );
            refuse(
                StatusCode::CONFLICT,
                "service",
                &found,
                "none, or the same order again",
            )
        }
        accepted if accepted.is_accepted() => {
            let RolloutOrder {
                service,
                target_version,
                ..
            } = &order;
            tracing::info!(
                target: "operator_api",
                "Rollout of {service} to {target_version} acknowledged: {accepted:?}."
            );
            reply(StatusCode::OK, "{}")
        }
        _ => outcome_unknown(),
    }
}

pub(super) async fn read_rollout(controller: &Controller, service: &str, path: &str) -> Reply {
    if let Some(reply) = confirm_leadership(controller, path).await {
        return reply;
    }
    let rollout = controller
        .state()
        .control
        .services
        .get(service)
        .and_then(|service| service.rollout.clone());
    let Some(rollout) = rollout else {
        return refuse(
            StatusCode::NOT_FOUND,
            "of",
            service,
            "a service with a rollout",
        );
    };
    let state = match rollout.phase {
        Phase::Trial | Phase::Promoting => "in_transit",
        Phase::Completed => "delivered",
        Phase::RolledBack => "returned",
    };
    reply(
        StatusCode::OK,
        jzon::object! { state: state, to_edition: rollout.target_version }.dump(),
    )
}
