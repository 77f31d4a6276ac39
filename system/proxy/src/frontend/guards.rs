//! Guards that record how a request ended, also where its client has left.

use super::accept::AcceptedRequest;
use crate::proxy::Proxy;
use doorcourse::RequestId;
use fennelscale_dataplane::engine::Engine;
use hyper::StatusCode;

/// Keeps the trace of a request in progress. If it is dropped before the answer, as when the connection
/// closes, it records that the client disconnected.
pub(super) struct TraceGuard<'a> {
    proxy: &'a Proxy,
    id: u64,
    finished: bool,
}

impl<'a> TraceGuard<'a> {
    pub(super) fn new(proxy: &'a Proxy, id: u64, accepted: &AcceptedRequest) -> Self {
        proxy.trace.borrow_mut().begin(proxy.now(), id, accepted.route.clone(), accepted.tenant.clone());
        Self { proxy, id, finished: false }
    }

    pub(super) fn finish<T>(mut self, status: StatusCode, why: &str, answer: T) -> T {
        self.finished = true;
        self.proxy.trace.borrow_mut().finish(self.proxy.now(), self.id, status.as_u16(), why);
        answer
    }
}

impl Drop for TraceGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.proxy.trace.borrow_mut().finish(self.proxy.now(), self.id, 0, "its client left");
        }
    }
}

/// A request whose client waits for the reply. When dropped, it reports to the engine that the client
/// disconnected, as when the connection closes; after a reply, this has no effect.
pub(super) struct ReplyWait<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl<'a> ReplyWait<'a> {
    pub(super) fn new(engine: &'a Engine, id: RequestId) -> Self {
        Self { engine, id }
    }
}

impl Drop for ReplyWait<'_> {
    fn drop(&mut self) {
        self.engine.client_disconnected(self.id);
    }
}
