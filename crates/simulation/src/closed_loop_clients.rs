//! Closed-loop clients on persistent connections: each sends its next request as soon as it has the response
//! to the last. They measure the cost of a request; to measure behaviour under load, use open-loop clients,
//! whose rate does not drop when responses are slow.

use hdrhistogram::Histogram;
use httparse::{Response, EMPTY_HEADER};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// What the clients of a measurement received, in total.
#[derive(Clone, Debug)]
pub struct ClientTotals {
    /// Latencies of the 200 responses, in microseconds.
    pub served: Histogram<u64>,
    /// Number of responses with status 429 or 503.
    pub rejected: u64,
    /// Number of other responses, and of connections that could not be opened or ended early.
    pub failed: u64,
}

impl Default for ClientTotals {
    fn default() -> ClientTotals {
        // Three significant digits up to 60 s take some KiB. These bounds are valid, so this can't fail.
        let served = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order");
        ClientTotals { served, rejected: 0, failed: 0 }
    }
}

/// Sends one request after another on one connection, until `until` or until the connection fails.
async fn run_client(
    address: SocketAddr,
    number: usize,
    until: Instant,
    summary: &RefCell<ClientTotals>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut read = Vec::with_capacity(1024);
    let mut sent = 0u64;
    while Instant::now() < until {
        sent += 1;
        let request = request(&format!("{number:04x}-{sent:08x}"));
        let begun = Instant::now();
        stream.write_all(request.as_bytes()).await?;
        let (status, used) = loop {
            if let Some(response) = complete_response(&read) {
                break response;
            }
            if stream.read_buf(&mut read).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        };
        read.drain(..used);
        let summary = &mut *summary.borrow_mut();
        match status {
            200 => summary.served.saturating_record(begun.elapsed().as_micros() as u64),
            429 | 503 => summary.rejected += 1,
            _ => summary.failed += 1,
        }
    }
    Ok(())
}

/// The text of an idempotent request (class `browse`) with this request ID.
pub fn request(id: &str) -> String {
    format!(
        "GET /api/7f3a HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: browse\r\n\
         Request-Timeout-Ms: 1200\r\n\r\n"
    )
}

/// The status and the length in bytes of the first response in `read`; `None` while it is incomplete.
fn complete_response(read: &[u8]) -> Option<(u16, usize)> {
    let mut headers = [EMPTY_HEADER; 32];
    let mut response = Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = response.parse(read) else { return None };
    let length = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"))?;
    let body: usize = std::str::from_utf8(length.value).ok()?.trim().parse().ok()?;
    (read.len() >= head + body).then_some((response.code.unwrap_or(0), head + body))
}

/// Runs concurrent clients for a time and returns their totals. A client whose connection fails opens a new
/// one.
pub async fn run(address: SocketAddr, clients: usize, time: Duration) -> ClientTotals {
    let (summary, until) = (Rc::new(RefCell::new(ClientTotals::default())), Instant::now() + time);
    let tasks: Vec<_> = (0..clients)
        .map(|number| {
            let summary = summary.clone();
            spawn_local(async move {
                while Instant::now() < until {
                    if run_client(address, number, until, &summary).await.is_err() {
                        summary.borrow_mut().failed += 1;
                        // Avoids a tight loop while nothing listens.
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    summary.take()
}

/// Opens `count` connections that carry one request each and stay open, idle.
pub async fn open_idle_connections(address: SocketAddr, count: usize) -> std::io::Result<Vec<TcpStream>> {
    let mut streams = Vec::with_capacity(count);
    for number in 0..count {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request(&format!("idle-{number:x}")).as_bytes()).await?;
        let mut read = Vec::new();
        while complete_response(&read).is_none() {
            if stream.read_buf(&mut read).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        streams.push(stream);
    }
    Ok(streams)
}
