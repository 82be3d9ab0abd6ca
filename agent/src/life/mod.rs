//! Start and stop.

pub mod start;
mod stop;

use crate::wire::{clients, list, platform};
use std::rc::Rc;
use tokio::net::TcpSocket;

/// Connections that the kernel holds for us until they are accepted: a burst of all clients at once.
const BACKLOG: u32 = 1024;

/// Serves until SIGTERM, on one thread.
pub fn serve(start: start::Start) -> Result<(), String> {
    let exchange = Rc::new(start.exchange()?);
    actix_rt::System::new().block_on(async move {
        let bind = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?; // the address is the same after a restart
            socket.bind(start.listen)?;
            socket.listen(BACKLOG)
        };
        let listener = bind().map_err(|e| format!("{}: could not be listened on: {e}", start.listen))?;
        log::info!("{}: listening on {}", start.name, start.listen);
        actix_rt::spawn(exchange.clone().review());
        actix_rt::spawn(list::follow(exchange.clone(), start.discovery));
        actix_rt::spawn(platform::follow(exchange.clone(), start.platform));
        actix_rt::spawn(clients::serve(exchange.clone(), Rc::new(listener)));
        stop::wait(exchange).await
    })
}
