//! Connections from other agents: sessions of proxies, and consensus messages of other controllers.

use super::leader_redirect::{target, Target};
use super::metrics::SessionEvent;
use super::proxy_outbox::SessionQueue;
use super::Controller;
use crate::clock::{duration, now, sleep, Micros};
use crate::net::{self, FrameReader};
use crate::view;
use magpieline_control_plane::config_sender::Event;
use magpieline_control_plane::messages::{
    ConnectionPurpose, ControllerMessage, Fenced, Hello, ProxyMessage,
};
use magpieline_raft::Envelope;
use socket2::SockRef;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Who opens a connection says at once what it is for.
const FIRST_MESSAGE_TIMEOUT: Micros = 1_000_000;
/// Proxies leave a leader that sends nothing for a second.
const HEARTBEAT_INTERVAL: Micros = 300_000;
/// A proxy that asks while nobody leads is answered when somebody does, or after this; it waits a second itself.
const MAX_WAIT_FOR_LEADER: Micros = 300_000;
/// After a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Micros = 20_000;

/// Serves agents until the task is aborted.
pub(super) async fn run(controller: Arc<Controller>, listener: TcpListener) {
    tokio::spawn(send_heartbeats(controller.clone()));
    loop {
        let stream = net::accept(&listener, ACCEPT_RETRY_INTERVAL).await;
        if net::configure_stream(&stream).is_ok() {
            tokio::spawn(serve_connection(controller.clone(), stream));
        }
    }
}

/// Tells each proxy that this controller leads, only while nobody else can.
async fn send_heartbeats(controller: Arc<Controller>) {
    loop {
        let due = now() + HEARTBEAT_INTERVAL;
        sleep(HEARTBEAT_INTERVAL).await;
        controller.metrics.on_heartbeat(now().saturating_sub(due));
        if controller.raft.holds_lease() {
            let mut state = controller.state();
            state.send_heartbeats();
            state.on_config_event(Event::Tick);
        }
    }
}

async fn serve_connection(controller: Arc<Controller>, stream: TcpStream) {
    let (read, mut write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let purpose = timeout(
        duration(FIRST_MESSAGE_TIMEOUT),
        reader.next::<ConnectionPurpose>(),
    )
    .await;
    match purpose {
        Ok(Ok(Some(ConnectionPurpose::ProxySession))) => {
            serve_proxy(controller, reader, write).await
        }
        Ok(Ok(Some(ConnectionPurpose::Consensus(_)))) => {
            while let Ok(Some(envelope)) = reader.next::<Envelope>().await {
                controller.raft.receive(envelope);
            }
        }
        Ok(Ok(Some(ConnectionPurpose::View))) => view::send(&mut write, &controller.view()).await,
        Ok(Ok(None) | Err(_)) | Err(_) => {}
    }
}

/// Returns the term in which a majority has confirmed, after this was asked, that this controller leads. While nobody is known to
/// lead, and somebody was recently, it waits a moment for who will.
async fn confirmed_term(controller: &Controller) -> Option<u64> {
    let raft = &controller.raft;
    let deadline = now() + MAX_WAIT_FOR_LEADER;
    while let Target::Wait(_) = target(&raft.leader_view(), now(), deadline) {
        if raft.leading_term().is_some() {
            break; // the read waits for a majority by itself
        }
        raft.leader_changed(deadline).await;
    }
    let term = raft.leading_term()?;
    raft.read_barrier().await.ok()?;
    // The leadership of a term is never regained once it is lost.
    raft.leading_term().filter(|still| *still == term)
}

/// Registers a proxy, and queues what it is to be sent first. None if this controller can't show that it leads.
fn register(controller: &Controller, term: u64, hello: &Hello) -> Option<(u64, SessionQueue)> {
    let mut state = controller.state();
    let (session, queue) = state.open_session();
    if !state.proxies.register(now(), session, term, hello) {
        state.close_session(session);
        return None;
    }
    let proxies = state.proxies.count(now());
    for message in &state.current_messages() {
        state.send(session, message);
    }
    let controllers = controller.raft.voters();
    let welcome = ControllerMessage::Welcome {
        controllers,
        proxies,
        confirmed_at: hello.sent_at,
    };
    state.begin_config_transfer(session, hello.config_version, &welcome);
    Some((session, queue))
}

async fn serve_proxy(
    controller: Arc<Controller>,
    mut reader: FrameReader<OwnedReadHalf>,
    mut write: OwnedWriteHalf,
) {
    let first = timeout(
        duration(FIRST_MESSAGE_TIMEOUT),
        reader.next::<ProxyMessage>(),
    )
    .await;
    let Ok(Ok(Some(ProxyMessage::Hello(hello)))) = first else {
        return;
    };
    // What a proxy is told must not be older than what any other has been told.
    let term = confirmed_term(&controller).await;
    let registered = term.and_then(|term| register(&controller, term, &hello));
    let Some((session, mut queue)) = registered else {
        return redirect(&controller, &mut write).await;
    };
    let node = hello.node;
    tracing::debug!(target: "session", "Proxy {node} registered, session {session}.");
    controller.metrics.on_session(SessionEvent::Opened);
    tokio::select! {
        biased;
        _ = queue.closed => {}
        () = async {
            while let Some(frame) = queue.frames.recv().await {
                if write.write_all(&frame).await.is_err() {
                    break;
                }
            }
        } => {}
        () = read_messages(&controller, &node, session, &mut reader) => {}
    }
    // Those that end with the leadership are counted where that ends.
    if controller.state().proxies.term() == term {
        controller.metrics.on_session(SessionEvent::Ended);
    }
    // What the system still holds for it is not to arrive either.
    let _ = SockRef::from(reader.stream().as_ref()).set_linger(Some(Duration::ZERO));
    controller.state().close_session(session);
}

/// Tells a proxy who may lead.
async fn redirect(controller: &Controller, write: &mut OwnedWriteHalf) {
    let leader = controller
        .raft
        .leader()
        .filter(|leader| *leader != controller.agent_address());
    let message = ControllerMessage::Redirect {
        leader,
        controllers: controller.raft.voters(),
    };
    let _ = net::write_frame(
        write,
        &Fenced {
            term: controller.raft.term(),
            message,
        },
    )
    .await;
}

/// Takes in what a proxy sends, until its session ends.
async fn read_messages(
    controller: &Controller,
    node: &str,
    session: u64,
    reader: &mut FrameReader<OwnedReadHalf>,
) {
    while let Ok(Some(message)) = reader.next::<ProxyMessage>().await {
        let mut state = controller.state();
        match message {
            ProxyMessage::Report(report) => {
                if !state.proxies.on_report(now(), session, report) {
                    tracing::info!(target: "session", "Proxy {node} has heard a newer leader.");
                    break;
                }
            }
            ProxyMessage::ChunkReceived { version, received } => {
                state.on_config_event(Event::ChunkReceived {
                    session,
                    version,
                    received,
                });
            }
            ProxyMessage::ConfigApplied { version } => {
                state.on_config_event(Event::ConfigApplied { session, version });
            }
            ProxyMessage::TrialSpeeds(speeds) => state.proxies.on_speeds(session, speeds),
            ProxyMessage::Hello(_) => {}
        }
    }
}
