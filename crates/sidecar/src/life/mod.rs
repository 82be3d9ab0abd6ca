//! Start, reload and stop.

pub mod control;
mod durable_journal;
mod extproc;
pub mod levels;
pub mod log_form;
pub mod record;
mod reload;
mod resp;
pub mod start;
mod stop;

use crate::wire::{clients, list, platform};
use control::{recovery, socket, ConfigChanges};
use magpieline_dispatch::{kept, Crowd};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpSocket;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Connections that the kernel holds for us until they are accepted: a burst of all clients at once.
const BACKLOG: u32 = 1024;

/// Listens for a signal; from then on it no longer ends the program.
fn listen(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|e| format!("signals: could not be listened for: {e}"))
}

/// Serves until SIGTERM, on one thread.
pub fn serve(path: PathBuf, operators: Option<PathBuf>) -> Result<(), String> {
    let mut start = start::read(&path, operators.as_deref())?;
    let control_paths = recovery::control_paths(&start.values);
    let mut recovered = None;
    if let Some(file) = &operators {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let journal = control_paths
            .as_ref()
            .and_then(|(_, journal)| journal.as_deref());
        let versions = recovery::recover(&text, journal)?;
        // What the journal keeps runs, but for what only a start reads.
        start.values = recovery::running_values(&versions.versions);
        if recovery::control_paths(&start.values) != control_paths {
            return Err(
                "control: the file and the version that was kept differ; mend the file".into(),
            );
        }
        recovered = Some(versions);
    }
    log_form::choose(&start.values);
    let around = Rc::new(start.around()?);
    let exchange = Rc::new(start.exchange(&around)?);
    actix_rt::System::new().block_on(async move {
        // Before anyone can know of this program: without them a signal would end it.
        let (reloads, stops) = (reload::signals()?, stop::signals()?);
        let bind = |at: SocketAddr| {
            let listen = || {
                let socket = if at.is_ipv4() {
                    TcpSocket::new_v4()
                } else {
                    TcpSocket::new_v6()
                }?;
                socket.set_reuseaddr(true)?; // the address is the same after a restart
                socket.bind(at)?;
                socket.listen(BACKLOG)
            };
            listen().map_err(|e: std::io::Error| format!("{at}: could not be listened on: {e}"))
        };
        let listener = bind(start.listen)?;
        log::info!("{}: listening on {}", start.name, start.listen);
        let (listener, crowd) = (Rc::new(listener), Rc::new(Crowd::new(start.descriptors)));
        if let Some((at, front)) = resp::front(&start.values, &exchange, &crowd)? {
            let listener = bind(at)?;
            log::info!("{}: listening on {at} for RESP", start.name);
            actix_rt::spawn(magpieline_resp_listener::serve(front, listener));
        }
        if let Some((at, front)) = extproc::front(&start.values, &exchange)? {
            let listener = bind(at)?;
            log::info!("{}: listening on {at} for callers by gRPC", start.name);
            actix_rt::spawn(magpieline_ext_proc::serve(front, listener));
        }
        let (own, desk) = (exchange.clone(), Rc::new(platform::Clerk(around.clone())));
        actix_rt::spawn(async move { kept("review", || own.clone().review(desk.clone())).await });
        let (own, at) = (exchange.clone(), around.clone());
        actix_rt::spawn(
            async move { kept("list", || list::follow(own.clone(), at.clone())).await },
        );
        let (own, at) = (exchange.clone(), around.clone());
        actix_rt::spawn(
            async move { kept("news", || platform::follow(own.clone(), at.clone())).await },
        );
        let mut config_changes = None;
        if let Some(recovered) = recovered {
            exchange.hold(recovered.versions, start.seed())?;
            levels::begin(&exchange, &start.values, start.seed())?;
            actix_rt::spawn(levels::read(exchange.clone(), start.means()));
            let seed = start.seed();
            let changes = Rc::new(ConfigChanges::new(
                exchange.clone(),
                recovered.journal,
                operators,
                recovered.not_durable,
                seed,
            ));
            if let Some((path, _)) = control_paths {
                recovery::write_events(&changes, &recovered.new_events).await;
                let listener = socket::listen(&path)?;
                actix_rt::spawn(socket::serve(changes.clone(), listener));
            }
            let watched = changes.clone();
            actix_rt::spawn(async move { kept("watch", || watched.clone().watch()).await });
            config_changes = Some(changes);
        }
        actix_rt::spawn(reload::follow(
            exchange.clone(),
            around,
            path,
            config_changes,
            reloads,
        ));
        let (own, visits) = (exchange.clone(), crowd.clone());
        actix_rt::spawn(async move {
            kept("clients", || {
                clients::serve(own.clone(), listener.clone(), visits.clone())
            })
            .await;
        });
        stop::asked(stops).await;
        stop::finish(exchange, crowd).await;
        Ok(())
    })
}
