//! Start and stop.

pub mod start;
mod stop;

use crate::wire::{clients, kept, list, platform};
use std::rc::Rc;
use tokio::net::TcpSocket;

/// Connections that the kernel holds for us until they are accepted: a burst of all clients at once.
const BACKLOG: u32 = 1024;

/// Serves until SIGTERM, on one thread.
pub fn serve(start: start::Start) -> Result<(), String> {
    let exchange = Rc::new(start.exchange()?);
    actix_rt::System::new().block_on(async move {
        let bind = || {
            let socket = if start.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            socket.set_reuseaddr(true)?; // the address is the same after a restart
            socket.bind(start.listen)?;
            socket.listen(BACKLOG)
        };
        let listener = bind().map_err(|e| format!("{}: could not be listened on: {e}", start.listen))?;
        log::info!("{}: listening on {}", start.name, start.listen);
        let (listener, crowd) = (Rc::new(listener), Rc::new(clients::Crowd::new(start.descriptors)));
        let (e, f, g, h) = (exchange.clone(), exchange.clone(), exchange.clone(), exchange.clone());
        let (list, news, visits) = (start.discovery, start.platform, crowd.clone());
        actix_rt::spawn(async move { kept("review", || e.clone().review()).await });
        actix_rt::spawn(async move { kept("list", || list::follow(f.clone(), list.clone())).await });
        actix_rt::spawn(async move { kept("news", || platform::follow(g.clone(), news.clone())).await });
        actix_rt::spawn(async move {
            kept("clients", || clients::serve(h.clone(), listener.clone(), visits.clone())).await;
        });
        stop::asked().await?;
        stop::finish(exchange, crowd).await;
        Ok(())
    })
}
