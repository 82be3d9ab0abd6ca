//! The clients' side: reads hits, hands them to the exchange, words the answers.

use crate::wire::door::{self, plain};
use crate::wire::line::Line;
use crate::wire::nodes::Head;
use crate::wire::{headers, whole, Unread, BODY_MOST};
use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use magpieline_dispatch::{accept, guarded, hash, Answer, Crowd, Exchange, Load, Signal, Visit};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// How long a client that has been answered early may go on sending what nobody reads: the answer would be
/// lost if its connection were closed under it.
const LINGER: Duration = Duration::from_secs(1);
/// On stopping, how long a connection that came late is kept open for its first hit.
const FRESH: Duration = Duration::from_millis(300);

async fn hit(
    exchange: &Rc<Exchange>,
    visit: &Rc<Visit>,
    mut request: Request,
) -> Result<Answer, Response<BoxBody>> {
    let begun = Instant::now();
    let mut arrival = door::arrival(exchange, request.head())?;
    let body = match whole(request.take_payload(), BODY_MOST).await {
        Ok(body) => body,
        Err(Unread::TooLarge) => {
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n"))
        }
        Err(Unread::Broken(e)) => {
            return Err(plain(StatusCode::BAD_REQUEST, format!("body: {e}\n")))
        }
    };
    arrival.remaining -= begun.elapsed().as_secs_f64();
    let departure = request
        .conn_data::<Rc<Signal>>()
        .cloned()
        .unwrap_or_default();
    let head = request.head();
    let Some(target) = head.uri.path_and_query().cloned() else {
        return Err(plain(StatusCode::BAD_REQUEST, "expected a path\n"));
    };
    let mut passed = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if !headers::OF_ONE_CONNECTION.contains(&name.as_str()) {
            passed.append(name.clone(), value.clone());
        }
    }
    let id = hash(passed.get(headers::TXN).map_or(b"", |v| v.as_bytes()));
    let head = Head {
        method: head.method.clone(),
        target,
        headers: passed,
    };
    let Some(mut ticket) = exchange.take(
        arrival,
        Load {
            id,
            head: Box::new(head),
            body,
        },
    ) else {
        return Err(plain(StatusCode::CONFLICT, "a hit in hand bears this id\n"));
    };
    visit.brought();
    tokio::select! {
        biased;
        answer = ticket.answer() => return Ok(answer),
        () = departure.wait() => ticket.leave(),
    }
    // It may have ended its sending only: what is under way is still passed on.
    Ok(ticket.answer().await)
}

fn worded(answer: Answer) -> Response<BoxBody> {
    match answer {
        Answer::Delivered { kind, body } => {
            let mut response = Response::build(StatusCode::OK);
            if let Some(kind) = kind.and_then(|k| HeaderValue::from_maybe_shared(k).ok()) {
                response.insert_header((CONTENT_TYPE, kind));
            }
            response
                .message_body(BoxBody::new(body))
                .unwrap_or_else(|e| plain(StatusCode::BAD_GATEWAY, e.to_string()))
        }
        Answer::Bounced { again_after } => {
            let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
            if again_after > 0.0 {
                response.insert_header((RETRY_AFTER, format!("{again_after:.3}")));
            }
            response.body("try again\n").map_into_boxed_body()
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed; it may have run\n"),
    }
}

async fn respond(
    exchange: Rc<Exchange>,
    crowd: Rc<Crowd>,
    visit: Rc<Visit>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let mut response = match request.path() {
        "/up" | "/alive" if exchange.ready() => plain(StatusCode::OK, "up\n"),
        "/up" => plain(StatusCode::SERVICE_UNAVAILABLE, "not yet\n"),
        "/alive" => plain(StatusCode::OK, "alive\n"),
        _ => match guarded("clients", hit(&exchange, &visit, request)).await {
            Some(Ok(answer)) => worded(answer),
            Some(Err(response)) => response,
            None => worded(Answer::Failed),
        },
    };
    visit.wait();
    if exchange.stopping() || crowd.over(exchange.clients_bound(&crowd)) {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response)
}

/// Accepts connections until the program stops; what the kernel has accepted by then is taken first.
pub async fn serve(exchange: Rc<Exchange>, listener: Rc<TcpListener>, crowd: Rc<Crowd>) {
    let next = || async { Ok(listener.accept().await?.0) };
    let attend = |stream| {
        actix_rt::spawn(attend(exchange.clone(), crowd.clone(), Line::new(stream)));
    };
    accept(&exchange, &crowd, 0, next, attend).await;
}

/// Serves one connection to its end.
async fn attend(exchange: Rc<Exchange>, crowd: Rc<Crowd>, line: Line) {
    let ((place, visit), begun) = (crowd.enter(Visit::new(line.heard.clone())), Instant::now());
    let (own, asked, closing) = (exchange.clone(), visit.clone(), exchange.clone());
    let others = crowd.clone();
    let service = HttpService::<Line, _, _>::build()
        // The library's own time-outs would answer or close in the decisions' stead.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        .h1_allow_half_closed(true)
        .graceful_shutdown_signal(move || {
            let closing = closing.clone();
            async move {
                closing.closing.wait().await;
                tokio::time::sleep(FRESH.saturating_sub(begun.elapsed())).await;
            }
        })
        .on_connect_ext(|line: &Line, data| {
            data.insert(line.departure.clone());
        })
        .h1(fn_service(move |request| {
            respond(own.clone(), others.clone(), asked.clone(), request)
        }));
    let serving = async {
        if let Ok(handler) = service.new_service(()).await {
            if let Err(e) = handler.call((line, None)).await {
                log::debug!("client: {e}");
            }
        }
    };
    tokio::select! {
        _ = guarded("clients", serving) => {}
        () = visit.evicted() => {}
        () = visit.overdue() => {}
    }
    crowd.leave(place);
}

#[cfg(test)]
mod tests;
