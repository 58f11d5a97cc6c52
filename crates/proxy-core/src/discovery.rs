//! Where the list of servers comes from. How it is asked is a protocol of its own; how often, and from where it
//! goes on after a failure, is the same for all.

use crate::endpoints::EndpointList;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Waits between two tries, doubled with each failure.
const BACKOFF: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_millis(800);

/// Longest wait for the head of an answer. A service that handles one call after another lets calls wait, and
/// says itself when one has waited too long. A caller that leaves sooner than that asks again at the end of the
/// line, while the service goes on to work for nobody: a whole fleet that does so hears nothing any more.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A future that a trait object gives.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A service that knows the servers.
pub trait Discovery {
    /// Watches from version `index` until the watch ends, and gives why. Where no version is known, the whole
    /// list comes first: versions of one address mean nothing at another.
    fn watch<'a>(
        &'a self,
        address: SocketAddr,
        index: &'a mut Option<u64>,
        take: &'a mut dyn FnMut(EndpointList),
    ) -> BoxFuture<'a, String>;

    /// Asks for the whole list once.
    fn fetch(&self, address: SocketAddr) -> BoxFuture<'_, Option<EndpointList>>;
}

/// Watches for ever, and gives why each watch ended to `tell`. One that ends, falls silent or is garbled is opened
/// again from where it stood.
pub async fn follow(
    discovery: Rc<dyn Discovery>,
    address: SocketAddr,
    mut index: Option<u64>,
    mut take: impl FnMut(EndpointList),
    tell: impl Fn(&str),
) {
    let mut wait = BACKOFF;
    loop {
        let mut got = false;
        let mut heard = |list| {
            got = true;
            take(list);
        };
        let why = discovery.watch(address, &mut index, &mut heard).await;
        if got {
            wait = BACKOFF;
        }
        tell(&why);
        tokio::time::sleep(wait).await;
        wait = (wait * 2).min(BACKOFF_MOST);
    }
}
