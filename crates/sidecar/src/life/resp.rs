//! What the operators' file says of RESP: whether clients are listened for, which commands are hits, who logs in how.

use crate::life::start::listens;
use magpieline_dispatch::{Crowd, Exchange};
use magpieline_operator_config::{number, text, Values};
use magpieline_resp_listener::{Front, Login, Table};
use std::net::SocketAddr;
use std::rc::Rc;

/// The first line of a file that holds a password.
fn password(values: &Values, name: &str) -> Result<Option<String>, String> {
    let Some(path) = text(values, &format!("resp.{name}")) else {
        return Ok(None);
    };
    let told = |what: String| format!("resp/@{}: {path}: {what}", name.replace('_', "-"));
    let all = std::fs::read_to_string(path).map_err(|e| told(format!("could not be read: {e}")))?;
    let line = all.lines().next().unwrap_or_default().trim();
    if line.is_empty() {
        return Err(told("expected a password on its first line".into()));
    }
    Ok(Some(line.to_owned()))
}

/// How this agent logs in at RESP nodes, if they ask for it.
pub fn login(values: &Values) -> Result<Option<Login>, String> {
    let user = text(values, "resp.node_user")
        .unwrap_or("default")
        .to_owned();
    Ok(password(values, "node_password_file")?.map(|password| Login { user, password }))
}

/// Where RESP clients are listened for, and their front; nothing without the element.
pub fn front(
    values: &Values,
    exchange: &Rc<Exchange>,
    crowd: &Rc<Crowd>,
) -> Result<Option<(SocketAddr, Rc<Front>)>, String> {
    let Some(at) = listens(values, "resp")? else {
        return Ok(None);
    };
    let table = Table::read(values, exchange)?;
    let weight = number(values, "resp.weight").unwrap_or(1.0);
    let password = password(values, "password_file")?;
    let front = Front::new(exchange.clone(), crowd.clone(), weight, table, password);
    Ok(Some((at, Rc::new(front))))
}

#[cfg(test)]
mod tests;
