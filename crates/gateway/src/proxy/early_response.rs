//! The response to a request that was started before its turn.

use super::responses::ProxyResponse;
use hyper::body::Body;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::task::JoinHandle;

/// The response to a request that was started early. Dropped, the request is given up; its attempts are cancelled with the
/// client's connection.
pub(super) struct EarlyResponse {
    task: JoinHandle<ProxyResponse>,
    /// The response, once it was looked at.
    response: Option<ProxyResponse>,
}

impl EarlyResponse {
    pub(super) fn new(task: JoinHandle<ProxyResponse>) -> EarlyResponse {
        EarlyResponse {
            task,
            response: None,
        }
    }

    /// Waits for the response; none if its task panicked.
    pub(super) async fn response(mut self) -> Option<ProxyResponse> {
        match self.response.take() {
            Some(response) => Some(response),
            None => (&mut self.task).await.ok(),
        }
    }

    /// Returns the bytes of the response if it waits already.
    pub(super) fn waiting_bytes(&mut self, cx: &mut Context<'_>) -> usize {
        if self.response.is_none() && self.task.is_finished() {
            if let Poll::Ready(Ok(response)) = Pin::new(&mut self.task).poll(cx) {
                self.response = Some(response);
            }
        }
        let bytes = |response: &ProxyResponse| response.body().size_hint().lower() as usize;
        self.response.as_ref().map_or(0, bytes)
    }
}

impl Drop for EarlyResponse {
    fn drop(&mut self) {
        self.task.abort();
    }
}
