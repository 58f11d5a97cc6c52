//! The interface to the discovery service, and the retry loop around a watch. The protocol implements the
//! queries; back-off, and the version from which a watch resumes, are the same for all protocols.

use crate::endpoints::EndpointList;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Delay before a watch is reopened after the first failure; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay before a watch is reopened.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long to wait for the head of a response. It must be longer than the discovery service queues a request
/// before rejecting it. The service handles one request after another: a client that gives up sooner goes
/// back to the end of the queue while the service still works on the abandoned request. If all instances of a
/// fleet do so, almost none of them receives a list.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A boxed future. [`Discovery`] returns it so that it can be used as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A client of the service that provides the endpoint list.
pub trait Discovery {
    /// Watches the list and passes each update to `on_list` until the watch ends; returns the cause as text
    /// for the log. The watch starts from `version`, which is advanced with each update. If it is `None`, the
    /// full list is fetched first, because a version is meaningful only at the address that sent it.
    fn watch<'a>(
        &'a self,
        address: SocketAddr,
        version: &'a mut Option<u64>,
        on_list: &'a mut dyn FnMut(EndpointList),
    ) -> BoxFuture<'a, String>;

    /// Fetches the full list once; `None` if that failed.
    fn fetch(&self, address: SocketAddr) -> BoxFuture<'_, Option<EndpointList>>;
}

/// Watches the list for ever. When a watch ends, `on_end` gets the cause, and the watch is reopened from the
/// last version after a delay.
pub async fn follow(
    discovery: Rc<dyn Discovery>,
    address: SocketAddr,
    mut version: Option<u64>,
    mut on_list: impl FnMut(EndpointList),
    on_end: impl Fn(&str),
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let mut received_any = false;
        let mut on_received = |list| {
            received_any = true;
            on_list(list);
        };
        let cause = discovery.watch(address, &mut version, &mut on_received).await;
        if received_any {
            backoff = MIN_BACKOFF;
        }
        on_end(&cause);
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
