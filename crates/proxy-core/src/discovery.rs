//! Where the endpoint list comes from. How discovery is queried depends on the protocol; how often, and from which
//! version after a failure, does not.

use crate::endpoints::EndpointList;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The first pause before a watch is opened again; it doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause before a watch is opened again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long to wait for the head of a response. A service that handles one request after another queues them, and
/// itself rejects one that has waited too long. A client that gives up sooner goes back to the end of the queue,
/// while the service still works on the abandoned request: if a whole fleet does so, no proxy gets a list any more.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A boxed future, as a trait object's method returns it.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A service that knows the backends.
pub trait Discovery {
    /// Watches the list from version `index`, which it advances, passing what it receives to `on_list`, until the
    /// watch ends; returns why it did. Where no version is known, the whole list comes first, as the versions of
    /// one address mean nothing at another.
    fn watch<'a>(
        &'a self,
        address: SocketAddr,
        index: &'a mut Option<u64>,
        on_list: &'a mut dyn FnMut(EndpointList),
    ) -> BoxFuture<'a, String>;

    /// Fetches the whole list once; `None` if that failed.
    fn fetch(&self, address: SocketAddr) -> BoxFuture<'_, Option<EndpointList>>;
}

/// Watches the list for ever. A watch that ends is opened again from the last version after a pause, and `on_end` is
/// given the cause.
pub async fn follow(
    discovery: Rc<dyn Discovery>,
    address: SocketAddr,
    mut index: Option<u64>,
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
        let cause = discovery.watch(address, &mut index, &mut on_received).await;
        if received_any {
            backoff = MIN_BACKOFF;
        }
        on_end(&cause);
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
