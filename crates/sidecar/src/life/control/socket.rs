//! The socket at which operators make their calls.

use super::calls::Call;
use super::ConfigChanges;
use serde_json::json;
use std::convert::Infallible;
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;

/// Operators that are served at once; more wait.
const MAX_OPERATORS: usize = 8;
/// The longest request: a file of the longest kind, as JSON.
const MAX_REQUEST_BYTES: u64 = 1 << 20;
/// How long a request may take to come.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// After a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Listens on a socket that is this user's alone. One that a dead program left is taken over.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let error = |e: io::Error| format!("control: {}: {e}", path.display());
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(error(io::Error::other("another program listens there")));
    }
    let is_socket = std::fs::symlink_metadata(path).is_ok_and(|m| {
        use std::os::unix::fs::FileTypeExt;
        m.file_type().is_socket()
    });
    if is_socket {
        std::fs::remove_file(path).map_err(error)?;
    }
    let listener = UnixListener::bind(path).map_err(error)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(error)?;
    Ok(listener)
}

/// Serves operators for as long as the program runs.
pub async fn serve(changes: Rc<ConfigChanges>, listener: UnixListener) -> Infallible {
    let own_user = std::fs::metadata("/proc/self").map_or(u32::MAX, |m| m.uid());
    let capacity = Arc::new(Semaphore::new(MAX_OPERATORS));
    loop {
        let Ok(permit) = capacity.clone().acquire_owned().await else {
            std::future::pending().await
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let changes = changes.clone();
                actix_rt::spawn(async move {
                    if let Err(e) = serve_operator(&changes, stream, own_user).await {
                        log::debug!("control: {e}");
                    }
                    drop(permit);
                });
            }
            Err(e) => {
                changes.exchange.complain("control", &e.to_string());
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Serves one operator's connection: a line of JSON in, a line out, as often as they like.
async fn serve_operator(
    changes: &ConfigChanges,
    stream: UnixStream,
    own_user: u32,
) -> io::Result<()> {
    let peer = stream.peer_cred()?.uid();
    let (read, mut write) = stream.into_split();
    if peer != own_user && peer != 0 {
        return write
            .write_all(b"{\"refused\":\"only for the agent's own user\"}\n")
            .await;
    }
    let who = format!("uid {peer}");
    let mut reader = BufReader::new(read);
    loop {
        let mut line = String::new();
        let mut limited = (&mut reader).take(MAX_REQUEST_BYTES);
        let read = tokio::time::timeout(REQUEST_TIMEOUT, limited.read_line(&mut line)).await;
        match read {
            Ok(Ok(0)) | Err(_) => return Ok(()),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return Err(e),
        }
        let result = match serde_json::from_str::<Call>(&line) {
            Ok(call) => changes.answer(call, &who).await,
            Err(e) => Err(format!("expected a call: {e}")),
        };
        let answer = match result {
            Ok(ok) => json!({ "ok": ok }),
            Err(refused) => json!({ "refused": refused }),
        };
        write.write_all(format!("{answer}\n").as_bytes()).await?;
    }
}
