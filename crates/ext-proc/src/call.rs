//! A hit whose forward is the caller's: the way tells the caller's stream where to go, and waits to hear how it ended.

use futures_util::future::LocalBoxFuture;
use magpieline_dispatch::End;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Where the caller is to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    pub address: SocketAddr,
    pub limit: Duration,
}

/// The head of a hit that a caller has asked about.
pub struct Call {
    told: RefCell<Option<oneshot::Sender<Told>>>,
    end: RefCell<Option<oneshot::Receiver<End>>>,
}

/// The caller's side of it.
pub struct Caller {
    pub told: oneshot::Receiver<Told>,
    pub end: oneshot::Sender<End>,
}

impl Call {
    pub fn new() -> (Call, Caller) {
        let (tell, told) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        (
            Call {
                told: Some(tell).into(),
                end: Some(ended).into(),
            },
            Caller { told, end },
        )
    }

    /// Tells the caller, once; its end, or that nothing was heard in time. What the caller never got never ran.
    pub fn forward(&self, address: SocketAddr, limit: Duration) -> LocalBoxFuture<'static, End> {
        let (told, end) = (self.told.borrow_mut().take(), self.end.borrow_mut().take());
        let (Some(told), Some(end)) = (told, end) else {
            return Box::pin(async { End::Nowhere }); // a second forward would be another stream's
        };
        if told.send(Told { address, limit }).is_err() {
            return Box::pin(async { End::Nowhere });
        }
        Box::pin(async move {
            match tokio::time::timeout(limit, end).await {
                Ok(Ok(end)) => end,
                Ok(Err(_)) => End::CalledOff, // its stream is gone
                Err(_) => End::Silent,
            }
        })
    }
}

/// For ways: the call, if a hit is one.
pub fn call(load: &Rc<magpieline_dispatch::Load>) -> Option<&Call> {
    load.head.downcast_ref()
}
