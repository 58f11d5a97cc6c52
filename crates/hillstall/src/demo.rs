//! `hillstall demo`: the proxy in front of stand-ins of the project's own, in one process, for a first look.

use crate::config::{self, Config};
use hillstall_simulation::servers::Answers;
use hillstall_simulation::site;
use hillstall_simulation::stand_in_thread::StandInThread;
use std::net::SocketAddr;
use std::rc::Rc;

/// What a stand-in server answers with: who it is, and what it was asked.
fn answers(number: usize) -> Rc<Answers> {
    Rc::new(move |method, target| {
        let server = format!("server-{number}");
        serde_json::json!({"server": server, "method": method, "target": target}).to_string().into_bytes()
    })
}

/// Starts the stand-ins on a thread of their own; gives the proxy's configuration.
pub fn start(listen: SocketAddr, count: u16) -> Result<Config, String> {
    let stand = StandInThread::start(count.into(), answers).map_err(|e| format!("demo: {e}"))?;
    let holds = site::ProcessLimits { sockets: 1_024, memory_mb: 192 };
    let config = site::config(listen, stand.discovery, &stand.servers, holds);
    config::parse(config.to_string().as_bytes(), |_| None)
}

/// What a newcomer can ask it.
pub fn hint(listen: SocketAddr) -> String {
    format!(
        "demo: try\n  curl -sS -H 'Request-Id: a1' -H 'Request-Class: browse' -H 'Request-Timeout-Ms: 1000' \
         http://{listen}/api/lantern\nEach call needs an id of its own while it is open. Ctrl-C ends it."
    )
}
