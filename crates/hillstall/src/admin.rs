//! The admin protocol on a listening address of its own: one command line and its answer per connection.

use hillstall_coordination::CoordinationHandle;
use hillstall_http1::client::HttpClient;
use hillstall_http1::server::HttpServer;
use hillstall_proxy_core::driver::Driver;
use hillstall_proxy_core::lifecycle::{Lifecycle, Phase};
use hillstall_proxy_core::limits::MAX_ADMIN_CONNECTIONS;
use hillstall_proxy_core::metrics::Metrics;
use hillstall_socket_io::SocketStream;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

/// Longest time for a whole connection: reading the command, executing it, sending the answer, and waiting
/// until the client has read the answer and closed its side.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum length of a command line in bytes, including the line ending.
const MAX_LINE_BYTES: usize = 256;
/// Bytes after the line that are read and dropped: closing a connection with unread input resets it, which
/// could discard the answer before the client has read it.
const MAX_TRAILING_BYTES: usize = 64 * 1024;

/// The parts of the proxy that admin commands read and change.
pub struct Admin {
    /// The state that `LAMEDUCK` and `REJOIN` change.
    pub lifecycle: Rc<Lifecycle>,
    /// The metrics of `INFO`.
    pub metrics: Rc<Metrics>,
    /// Source of the number of backends in `INFO`.
    pub driver: Rc<Driver<HttpClient>>,
    /// Tells `PING` whether clients can be served.
    pub server: Rc<HttpServer>,
    /// Executes the admin commands for coordination; `None` if coordination is off.
    pub coordination: Option<Rc<CoordinationHandle>>,
}

impl Admin {
    /// Accepts and serves connections; never returns. At [`MAX_ADMIN_CONNECTIONS`] open connections the
    /// oldest is closed for a new one, so that idle clients can't block others.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!("admin_addr: {e}");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            };
            connections.retain(|connection| !connection.is_finished());
            if connections.len() >= MAX_ADMIN_CONNECTIONS {
                if let Some(oldest) = connections.pop_front() {
                    oldest.abort();
                }
            }
            let admin = self.clone();
            let connection = spawn_local(async move {
                let _ = timeout(CONNECTION_TIMEOUT, admin.serve_connection(stream)).await;
            });
            connections.push_back(connection.abort_handle());
        }
    }

    async fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = SocketStream(stream);
        let answer = match read_line(&mut stream).await? {
            Some(line) => self.execute(&line).await,
            None => "400 the line is too long\n".to_string(),
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        discard_trailing_bytes(&mut stream).await
    }

    /// Executes a command and returns its answer. The texts of the answers are read by tools and stay as they
    /// are.
    async fn execute(&self, line: &[u8]) -> String {
        let text = std::str::from_utf8(line).unwrap_or_default();
        match self.coordination.as_ref().and_then(|coordination| coordination.admin_command(text)) {
            // The proxy keeps serving requests if the coordination runtime has ended.
            Some(answer) => answer.await.unwrap_or_else(|_| "500 the fleet's part has ended\n".into()),
            None => self.execute_proxy_command(line),
        }
    }

    fn execute_proxy_command(&self, line: &[u8]) -> String {
        match line {
            b"PING" => self.serving_state().to_string(),
            b"INFO" => self.metrics.render(self.driver.cluster_size()) + "EOF\n",
            b"LAMEDUCK" if self.lifecycle.drain() => "200 draining\n".to_string(),
            b"REJOIN" if self.lifecycle.rejoin() => "200 serving\n".to_string(),
            b"LAMEDUCK" | b"REJOIN" => "400 starting or stopping\n".to_string(),
            _ => "400 not a call; there are PING, INFO, LAMEDUCK and REJOIN\n".to_string(),
        }
    }

    /// The answer of `PING`.
    fn serving_state(&self) -> &'static str {
        match (self.lifecycle.phase(), self.server.is_ready()) {
            (Phase::Starting, _) => "400 starting\n",
            (Phase::Serving, true) => "200 serving\n",
            (Phase::Serving, false) => "400 no backend list yet\n",
            (Phase::Draining, _) => "400 draining\n",
            (Phase::Stopping, _) => "400 stopping\n",
        }
    }
}

/// Reads a line and strips its line ending; returns `None` if it is too long. The end of the stream also ends
/// a line.
async fn read_line(stream: &mut SocketStream<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES);
    let mut buffer = [0; MAX_LINE_BYTES];
    loop {
        let remaining = MAX_LINE_BYTES - line.len();
        let read = stream.read(&mut buffer[..remaining]).await?;
        line.extend_from_slice(&buffer[..read]);
        let newline = line.iter().position(|byte| *byte == b'\n');
        if let Some(end) = newline.or((read == 0).then_some(line.len())) {
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Ok(Some(line));
        }
        if line.len() == MAX_LINE_BYTES {
            return Ok(None);
        }
    }
}

/// Reads and drops what a client sends after its line, up to [`MAX_TRAILING_BYTES`].
async fn discard_trailing_bytes(stream: &mut SocketStream<TcpStream>) -> std::io::Result<()> {
    let mut buffer = [0; MAX_LINE_BYTES];
    let mut discarded = 0;
    while discarded < MAX_TRAILING_BYTES {
        match stream.read(&mut buffer).await? {
            0 => break,
            read => discarded += read,
        }
    }
    Ok(())
}
