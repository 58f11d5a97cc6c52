//! `hillstall demo`: the proxy in front of stand-ins of the project's own, in one process, for a first look.

use crate::config::Config;
use hillstall_lab::{discovery, servers, site};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};

/// Starts the stand-ins on a thread of their own; gives the proxy's configuration.
pub fn start(listen: SocketAddr, count: u16) -> Result<Config, String> {
    let bind = || -> std::io::Result<(TcpListener, SocketAddr)> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    let failed = |e: std::io::Error| format!("demo: {e}");
    let bound: Vec<_> = (0..count).map(|_| bind()).collect::<Result<_, _>>().map_err(failed)?;
    let (list, list_at) = bind().map_err(failed)?;
    let addresses: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
    let known = discovery::list(&addresses);
    let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
    std::thread::Builder::new()
        .name("stand-ins".into())
        .spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                for (number, (listener, _)) in bound.into_iter().enumerate() {
                    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { continue };
                    let answers = move |method: &str, target: &str| {
                        serde_json::json!({"server": format!("server-{number}"), "method": method,
                            "target": target})
                        .to_string()
                        .into_bytes()
                    };
                    spawn_local(servers::serve(listener, Rc::new(answers), Arc::default()));
                }
                if let Ok(list) = tokio::net::TcpListener::from_std(list) {
                    discovery::serve(list, known).await;
                }
            });
        })
        .map_err(failed)?;
    let holds = site::Holds { sockets: 1_024, memory_mb: 192 };
    let config = site::config(listen, list_at, &addresses, holds);
    crate::config::parse(config.to_string().as_bytes(), |_| None)
}

/// What a newcomer can ask it.
pub fn hint(listen: SocketAddr) -> String {
    format!(
        "demo: try\n  curl -sS -H 'Request-Id: a1' -H 'Request-Class: browse' -H 'Request-Timeout-Ms: 1000' \
         http://{listen}/api/lantern\nEach call needs an id of its own while it is open. Ctrl-C ends it."
    )
}
