//! Start, reload and stop.

mod reload;
pub mod start;
mod stop;

use crate::wire::{clients, kept, list, platform};
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
    let start = start::read(&path, operators.as_deref())?;
    let exchange = Rc::new(start.exchange()?);
    actix_rt::System::new().block_on(async move {
        // Before anyone can know of this program: without them a signal would end it.
        let (reloads, stops) = (reload::signals()?, stop::signals()?);
        let bind = || {
            let socket = if start.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            socket.set_reuseaddr(true)?; // the address is the same after a restart
            socket.bind(start.listen)?;
            socket.listen(BACKLOG)
        };
        let listener = bind().map_err(|e| format!("{}: could not be listened on: {e}", start.listen))?;
        log::info!("{}: listening on {}", start.name, start.listen);
        let (listener, crowd) = (Rc::new(listener), Rc::new(clients::Crowd::new(start.descriptors)));
        let own = exchange.clone();
        actix_rt::spawn(async move { kept("review", || own.clone().review()).await });
        let own = exchange.clone();
        actix_rt::spawn(async move { kept("list", || list::follow(own.clone())).await });
        let own = exchange.clone();
        actix_rt::spawn(async move { kept("news", || platform::follow(own.clone())).await });
        actix_rt::spawn(reload::follow(exchange.clone(), path, reloads));
        let (own, visits) = (exchange.clone(), crowd.clone());
        actix_rt::spawn(async move {
            kept("clients", || clients::serve(own.clone(), listener.clone(), visits.clone())).await;
        });
        stop::asked(stops).await;
        stop::finish(exchange, crowd).await;
        Ok(())
    })
}
