//! The clients' side: reads hits, hands them to the exchange, words the answers.

use crate::memory::exchange::{Answer, Exchange};
use crate::wire::line::{Departure, Line};
use crate::wire::nodes::Parcel;
use crate::wire::{headers, whole, Unread, BODY_MOST};
use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use magpieline::interface::Arrival;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// How long a client that has been answered early may go on sending what nobody reads: the answer would be
/// lost if its connection were closed under it.
const LINGER: Duration = Duration::from_secs(1);
/// Before accepting again when that failed, as it does where descriptors run out: some end in that time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

fn plain(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(text.into()))
}

/// A header as text; one that is no text counts as absent.
fn word<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// A figure of a header; nothing where it is absent or can't be read.
fn figure(headers: &HeaderMap, name: &str) -> Option<f64> {
    word(headers, name)?.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)
}

fn arrival(exchange: &Exchange, head: &actix_http::RequestHead) -> Result<Arrival, Response<BoxBody>> {
    let first = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
    let Some(group) = exchange.group(first) else {
        return Err(plain(StatusCode::NOT_FOUND, "no such path group\n"));
    };
    let Some(remaining) = figure(&head.headers, headers::REMAINING) else {
        let text = format!("{}: expected whole milliseconds\n", headers::REMAINING);
        return Err(plain(StatusCode::BAD_REQUEST, text));
    };
    Ok(Arrival {
        group,
        key: word(&head.headers, headers::ENTITY).map(|key| exchange.key(key)),
        account: exchange.account(word(&head.headers, headers::ORG).unwrap_or("")),
        remaining: remaining / 1e3,
        hint: figure(&head.headers, headers::ESTIMATE).unwrap_or(0.0) / 1e6,
    })
}

async fn hit(exchange: &Rc<Exchange>, mut request: Request) -> Result<Answer, Response<BoxBody>> {
    let begun = Instant::now();
    let mut arrival = arrival(exchange, request.head())?;
    let body = match whole(request.take_payload(), BODY_MOST).await {
        Ok(body) => body,
        Err(Unread::TooLarge) => return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n")),
        Err(Unread::Broken(e)) => return Err(plain(StatusCode::BAD_REQUEST, format!("body: {e}\n"))),
    };
    arrival.remaining -= begun.elapsed().as_secs_f64();
    let departure = request.conn_data::<Rc<Departure>>().cloned().unwrap_or_default();
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
    let parcel = Parcel { method: head.method.clone(), target, headers: passed, body };
    let mut ticket = exchange.take(arrival, parcel);
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
            if let Some(kind) = kind {
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

async fn respond(exchange: Rc<Exchange>, request: Request) -> Result<Response<BoxBody>, Infallible> {
    let mut response = match request.path() {
        "/up" | "/alive" if exchange.ready() => plain(StatusCode::OK, "up\n"),
        "/up" => plain(StatusCode::SERVICE_UNAVAILABLE, "not yet\n"),
        "/alive" => plain(StatusCode::OK, "alive\n"),
        _ => match hit(&exchange, request).await {
            Ok(answer) => worded(answer),
            Err(response) => response,
        },
    };
    if exchange.stopping() {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response)
}

/// Accepts connections for as long as the program runs.
pub async fn serve(exchange: Rc<Exchange>, listener: Rc<TcpListener>) {
    let (own, closing) = (exchange.clone(), exchange.clone());
    let service = HttpService::<Line, _, _>::build()
        // The library's own time-outs would answer or close in the decisions' stead.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        .h1_allow_half_closed(true)
        .graceful_shutdown_signal(move || closing.clone().closing())
        .on_connect_ext(|line: &Line, data| {
            data.insert(line.departure.clone());
        })
        .h1(fn_service(move |request| respond(own.clone(), request)));
    let Ok(handler) = service.new_service(()).await else {
        return log::error!("clients: the service could not be made");
    };
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (handler, exchange) = (handler.clone(), exchange.clone());
                actix_rt::spawn(async move {
                    let _open = exchange.connected();
                    if let Err(e) = handler.call((Line::new(stream), Some(peer))).await {
                        log::debug!("client {peer}: {e}");
                    }
                });
            }
            Err(e) => {
                exchange.complain("accept", &e.to_string());
                exchange.drop_idle();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
