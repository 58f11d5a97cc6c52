//! `hillstall demo`: the proxy in front of stand-in servers, all in one process, for a first look.

use crate::config::{self, Config, ParseError};
use hillstall_simulation::servers::ResponseBody;
use hillstall_simulation::site;
use hillstall_simulation::stand_in_thread::StandInThread;
use std::net::SocketAddr;
use std::rc::Rc;

/// File descriptors and memory (MiB) of the demo's proxy.
const RESOURCES: site::ProcessLimits = site::ProcessLimits { sockets: 1_024, memory_mb: 192 };

/// Why the demo can't start.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The stand-in servers can't be started.
    #[error("demo: {0}")]
    Servers(#[from] std::io::Error),
    /// The configuration made for the proxy is invalid.
    #[error(transparent)]
    Config(#[from] ParseError),
}

/// The response body of a stand-in server: its name, and the request line.
fn response_body(number: usize) -> Rc<ResponseBody> {
    Rc::new(move |method, target| {
        let server = format!("server-{number}");
        serde_json::json!({"server": server, "method": method, "target": target}).to_string().into_bytes()
    })
}

/// Starts the stand-in servers on a thread of their own and returns the configuration of the proxy.
pub fn start(listen: SocketAddr, servers: u16) -> Result<Config, DemoError> {
    let stand = StandInThread::start(servers.into(), response_body)?;
    let config = site::config(listen, stand.discovery, &stand.servers, RESOURCES);
    Ok(config::parse(config.to_string().as_bytes(), |_| None)?)
}

/// A first request for a newcomer to try.
pub fn usage_hint(listen: SocketAddr) -> String {
    format!(
        "demo: try\n  curl -sS -H 'Request-Id: a1' -H 'Request-Class: browse' -H 'Request-Timeout-Ms: 1000' \
         http://{listen}/api/lantern\nEach call needs an id of its own while it is open. Ctrl-C ends it."
    )
}
