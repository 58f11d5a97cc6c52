//! `hillstall demo`: a proxy and stand-in servers in one process, to try the proxy out.

use crate::config::{self, Config, ParseError};
use hillstall_simulation::servers::ResponseBody;
use hillstall_simulation::site;
use hillstall_simulation::stand_in_thread::StandInThread;
use std::net::SocketAddr;
use std::rc::Rc;

/// Resource limits of the demo's proxy: file descriptors, and memory in MiB.
const DEMO_LIMITS: site::ProcessLimits = site::ProcessLimits { sockets: 1_024, memory_mb: 192 };

/// Why the demo can't start.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The stand-in servers can't be started.
    #[error("demo: can't start the stand-in servers: {0}")]
    Servers(#[from] std::io::Error),
    /// The configuration made for the proxy is invalid.
    #[error(transparent)]
    Config(#[from] ParseError),
}

/// Builds the response bodies of one stand-in server: its name, and the method and target of the request.
fn response_body(number: usize) -> Rc<ResponseBody> {
    Rc::new(move |method, target| {
        let server = format!("server-{number}");
        serde_json::json!({"server": server, "method": method, "target": target}).to_string().into_bytes()
    })
}

/// Starts the stand-in servers on a separate thread, and returns the configuration of a proxy for them.
pub fn start(listen: SocketAddr, servers: u16) -> Result<Config, DemoError> {
    let stand_ins = StandInThread::start(servers.into(), response_body)?;
    let config = site::config(listen, stand_ins.discovery, &stand_ins.servers, DEMO_LIMITS);
    Ok(config::parse(config.to_string().as_bytes(), |_| None)?)
}

/// A message with an example request.
pub fn usage_hint(listen: SocketAddr) -> String {
    format!(
        "demo: try\n  curl -sS -H 'Request-Id: a1' -H 'Request-Class: browse' -H 'Request-Timeout-Ms: 1000' \
         http://{listen}/api/lantern\nA Request-Id must not be in use by another open request. Ctrl-C stops the demo."
    )
}
