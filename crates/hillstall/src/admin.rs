//! The second address: one line a connection, for those who operate the proxy.

use hillstall_http1::client::HttpClient;
use hillstall_http1::front::Server;
use hillstall_proxy_core::driver::Driver;
use hillstall_proxy_core::lifecycle::{Lifecycle, Phase};
use hillstall_proxy_core::limits::MAX_ADMIN_CONNECTIONS;
use hillstall_proxy_core::metrics::Metrics;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

/// Longest wait for a call and for the reading of its answer.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Longest line, its end included.
const LINE_MOST: usize = 256;
/// How much more than its line is read of a caller, so that the answer is not lost to a reset.
const MORE_MOST: usize = 64 * 1024;

/// What the calls read and change.
pub struct Admin {
    /// The state that `LAMEDUCK` and `REJOIN` change.
    pub lifecycle: Rc<Lifecycle>,
    /// The figures of `INFO`.
    pub metrics: Rc<Metrics>,
    /// Knows the backends.
    pub driver: Rc<Driver<HttpClient>>,
    /// Knows whether clients can be served.
    pub server: Rc<Server>,
    /// The fleet's part, where it is on.
    pub fleet: Option<Rc<hillstall_coordination::CoordinationHandle>>,
}

impl Admin {
    /// Answers calls for ever. At most a few are open at once: callers that say nothing are the first to give
    /// way, so that they delay nobody.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut calls: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!("admin_addr: {e}");
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            calls.retain(|call| !call.is_finished());
            if calls.len() >= MAX_ADMIN_CONNECTIONS {
                if let Some(oldest) = calls.pop_front() {
                    oldest.abort();
                }
            }
            let admin = self.clone();
            let call = spawn_local(async move {
                let _ = timeout(CALL_TIME, admin.call(stream)).await;
            });
            calls.push_back(call.abort_handle());
        }
    }

    async fn call(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(LINE_MOST);
        let mut byte = [0; LINE_MOST];
        let whole = loop {
            let room = LINE_MOST - line.len();
            let n = stream.read(&mut byte[..room]).await?;
            line.extend_from_slice(&byte[..n]);
            let end = line.iter().position(|b| *b == b'\n');
            if let Some(end) = end.or((n == 0).then_some(line.len())) {
                break Some(&line[..end]);
            }
            if line.len() == LINE_MOST {
                break None;
            }
        };
        let answer = match whole {
            Some(line) => {
                let line = line.strip_suffix(b"\r").unwrap_or(line);
                let text = std::str::from_utf8(line).unwrap_or_default();
                match self.fleet.as_ref().and_then(|fleet| fleet.admin_command(text)) {
                    // The fleet's part has failed, and calls go on.
                    Some(answer) => {
                        answer.await.unwrap_or_else(|_| "500 the fleet's part has ended\n".into())
                    }
                    None => self.answer(line),
                }
            }
            None => "400 the line is too long\n".to_string(),
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        let mut rest = 0;
        while rest < MORE_MOST {
            match stream.read(&mut byte).await? {
                0 => break,
                n => rest += n,
            }
        }
        Ok(())
    }

    fn answer(&self, line: &[u8]) -> String {
        match line {
            b"PING" => match (self.lifecycle.phase(), self.server.is_ready()) {
                (Phase::Starting, _) => "400 starting\n",
                (Phase::Serving, true) => "200 serving\n",
                (Phase::Serving, false) => "400 no backend list yet\n",
                (Phase::Draining, _) => "400 draining\n",
                (Phase::Stopping, _) => "400 stopping\n",
            }
            .to_string(),
            b"INFO" => self.metrics.render(self.driver.cluster()) + "EOF\n",
            b"LAMEDUCK" if self.lifecycle.drain() => "200 draining\n".to_string(),
            b"REJOIN" if self.lifecycle.rejoin() => "200 serving\n".to_string(),
            b"LAMEDUCK" | b"REJOIN" => "400 starting or stopping\n".to_string(),
            _ => "400 not a call; there are PING, INFO, LAMEDUCK and REJOIN\n".to_string(),
        }
    }
}
