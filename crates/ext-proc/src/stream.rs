//! One caller's stream: headers come, the answer says where to go, the response's headers say how it ended.

use crate::call::{Call, Caller, Told};
use crate::front::Front;
use crate::messages::*;
use crate::table::{Asked, Odd};
use bytes::Bytes;
use magpieline::interface::Arrival;
use magpieline_attempt_log::request::{AttemptRequest, Outcome, Rejection};
use magpieline_dispatch::{Answer, End, Load, Ticket};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tonic::{Status, Streaming};

/// Messages of one stream that came while it waits for a decision: a caller sends few before it is answered.
const EARLY: usize = 16;
/// Parts that a caller's path through its own filters may take of the time that is told to it: what it forwards has to
/// have ended here before our own wait for it does.
const OWN_PART: f64 = 0.95;

type Say = mpsc::Sender<Result<ProcessingResponse, Status>>;

/// One hit of a stream, from when it is asked about to its end. Dropping it says that the stream is gone.
struct Case {
    front: Rc<Front>,
    /// In the ledger, if its kind needs that.
    id: Option<u64>,
    /// Its caller was told where to go.
    sent: bool,
    end: Option<oneshot::Sender<End>>,
    ticket: Option<Ticket>,
}

impl Case {
    /// The caller says how it ended.
    fn ended(mut self, end: End) {
        self.finish(end);
        // What the decisions say to it can't be told any more.
        if let Some(mut ticket) = self.ticket.take() {
            tokio::task::spawn_local(async move { drop(ticket.answer().await) });
        }
    }

    fn finish(&mut self, end: End) {
        let ran = match end {
            End::TurnedAway | End::Nowhere => Outcome::NeverRan,
            _ => Outcome::MayHaveRun,
        };
        if let Some(id) = self.id.take() {
            self.front.over(id, self.sent, ran);
        }
        if let Some(sender) = self.end.take() {
            let _ = sender.send(end); // the wait for it may be over
        }
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        self.finish(if self.sent {
            End::CalledOff
        } else {
            End::Nowhere
        });
    }
}

/// What a caller is answered to its first message.
enum Said {
    /// Go on, with these headers, and tell how it ends.
    Go(HeaderMutation, Case),
    /// Go on by itself.
    Own,
    Answer(ImmediateResponse),
    /// Nothing any more: the stream is gone.
    Gone,
}

fn immediate(code: i32, again_after: f64, why: &str) -> Said {
    let mut headers = HeaderMutation::default();
    if again_after > 0.0 {
        headers.set("retry-after", format!("{}", again_after.ceil()));
    }
    Said::Answer(ImmediateResponse {
        status: Some(HttpStatus { code }),
        headers: Some(headers),
        body: format!("{why}\n").into_bytes(),
        details: why.to_owned(),
    })
}

/// Serves one stream to its end.
pub async fn talk(front: Rc<Front>, mut asks: Streaming<ProcessingRequest>, say: Say) {
    let (mut early, mut case, mut decided) = (VecDeque::new(), None::<Case>, false);
    loop {
        let message = match early.pop_front() {
            Some(message) => message,
            None => match asks.message().await {
                Ok(Some(message)) => message,
                _ => return, // what is in hand ends with it
            },
        };
        let answer = match message.request {
            Some(Shown::RequestHeaders(_)) if decided => {
                let _ = say
                    .send(Err(Status::invalid_argument("request headers came twice")))
                    .await;
                return;
            }
            Some(Shown::RequestHeaders(headers)) => {
                decided = true;
                if message.observability_mode {
                    continue; // it waits for nothing, and does not go where it is told
                }
                let headers = headers.headers.unwrap_or_default();
                let said = tokio::select! {
                    biased;
                    said = decide(&front, &headers) => said,
                    () = gather(&mut asks, &mut early) => Said::Gone,
                    () = say.closed() => Said::Gone,
                };
                match said {
                    Said::Gone => return,
                    Said::Answer(answer) => Reply::ImmediateResponse(answer),
                    Said::Own => Reply::RequestHeaders(CommonAnswer { response: None }),
                    Said::Go(mutation, held) => {
                        case = Some(held);
                        let common = CommonResponse {
                            header_mutation: Some(mutation),
                            clear_route_cache: true,
                        };
                        Reply::RequestHeaders(CommonAnswer {
                            response: Some(common),
                        })
                    }
                }
            }
            Some(Shown::ResponseHeaders(headers)) => {
                if let Some(case) = case.take() {
                    case.ended(end(&front, &headers.headers.unwrap_or_default()));
                }
                Reply::ResponseHeaders(CommonAnswer::default())
            }
            Some(Shown::RequestBody(_)) => Reply::RequestBody(CommonAnswer::default()),
            Some(Shown::ResponseBody(_)) => Reply::ResponseBody(CommonAnswer::default()),
            Some(Shown::RequestTrailers(_)) => Reply::RequestTrailers(TrailersAnswer::default()),
            Some(Shown::ResponseTrailers(_)) => Reply::ResponseTrailers(TrailersAnswer::default()),
            None => continue, // a kind of message that is newer than this
        };
        if message.observability_mode {
            continue;
        }
        let over = matches!(answer, Reply::ImmediateResponse(_));
        let said = say
            .send(Ok(ProcessingResponse {
                response: Some(answer),
            }))
            .await;
        if said.is_err() || over {
            return;
        }
    }
}

/// Reads on while a decision is waited for; ends once the stream has.
async fn gather(asks: &mut Streaming<ProcessingRequest>, early: &mut VecDeque<ProcessingRequest>) {
    while let Ok(Some(message)) = asks.message().await {
        if early.len() >= EARLY {
            return;
        }
        early.push_back(message);
    }
}

/// Asks the ledger, then the decisions.
async fn decide(front: &Rc<Front>, headers: &HeaderMap) -> Said {
    let asked = match front.table.asked(headers) {
        Ok(asked) => asked,
        Err(Odd::Nowhere) => return Said::Own,
        Err(Odd::NoId) => return immediate(400, 0.0, "an id is needed here"),
    };
    let Asked {
        row,
        id,
        key,
        account,
        remaining,
        again,
        began,
    } = asked;
    if !front.exchange.ready() {
        return if row.open {
            Said::Own
        } else {
            immediate(503, 1.0, "no node list yet, or stopping")
        };
    }
    let mut risk = None;
    if let Some(id) = id {
        match front.ask(&AttemptRequest {
            id,
            idempotency: row.kind,
            is_retry: again,
            received_at: began,
        }) {
            Ok(known) => risk = known,
            Err(Rejection::Full) => return immediate(503, 1.0, "no more ids can be remembered"),
            Err(Rejection::InProgress) => return immediate(409, 0.0, "one of this id is in hand"),
            Err(Rejection::MayHaveRun) => {
                return immediate(409, 0.0, "one of this id may have run")
            }
            Err(Rejection::Unknown) => {
                return immediate(409, 0.0, "asked before, and nothing is known of that")
            }
        }
    }
    let (call, Caller { mut told, end }) = Call::new();
    let mut case = Case {
        front: front.clone(),
        id,
        sent: false,
        end: Some(end),
        ticket: None,
    };
    let arrival = Arrival {
        group: row.group,
        key: key.map(|key| front.exchange.key(key)),
        account: front.exchange.account(account),
        remaining,
        // Once: a second forward would be another stream's.
        most: 1,
        risk: risk.map(|r| (r.at, r.zone, r.cell)),
        ..Arrival::default()
    };
    // Each stream's is its own: repeats are told apart by the ledger.
    let load = Load {
        id: front.exchange.unnamed(),
        head: Box::new(call),
        body: Bytes::new(),
    };
    let Some(mut ticket) = front.exchange.take(arrival, load) else {
        return immediate(503, 1.0, "a hit in hand bears this id");
    };
    let answer = tokio::select! {
        biased;
        Ok(told) = &mut told => Err(told),
        answer = ticket.answer() => Ok(answer),
    };
    match answer {
        Ok(Answer::Bounced { again_after }) => {
            immediate(503, again_after.max(0.001), "bounced, nothing ran")
        }
        Ok(_) => immediate(502, 0.0, "given up"),
        Err(Told { address, limit }) => {
            case.ticket = Some(ticket);
            // It may have waited until nodes know its repeats no more.
            if risk.is_some_and(|r| !row.kind.is_recognized(front.exchange.now(), r)) {
                return immediate(409, 0.0, "one of this id may have run");
            }
            // Written before it is told, where there is a disk; what can't be written is not risked.
            if let Some(id) = id {
                if let Err(e) = front.sent(id, address).await {
                    front.exchange.complain("ledger", &e);
                    return immediate(503, 1.0, "what is sent can't be written down");
                }
            }
            case.sent = true;
            let mut mutation = HeaderMutation::default();
            mutation.set(&front.table.node, address.to_string());
            let told = (limit.as_secs_f64() * OWN_PART * 1e3).floor().max(1.0);
            mutation.set("x-envoy-upstream-rq-timeout-ms", format!("{told}"));
            // What is left to the caller of the attempts at this hit: none, another one is asked for here.
            mutation.set("x-envoy-max-retries", "0".into());
            Said::Go(mutation, case)
        }
    }
}

/// How a forward ended, by its response's headers.
fn end(front: &Front, headers: &HeaderMap) -> End {
    let status = headers.get(":status").and_then(|s| s.parse::<u16>().ok());
    let turned_away = headers.get(&front.turned_away) == Some("1");
    match status {
        Some(503 | 504) if turned_away => End::TurnedAway,
        Some(200..=499) => End::Answered {
            kind: None,
            body: Bytes::new(),
        },
        Some(_) => End::Failed,
        None => End::Unreadable,
    }
}
