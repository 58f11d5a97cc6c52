//! The platform's discovery service: endpoint lists as JSON over HTTP/1.1, as one response or as a watch.

use crate::stream::{HyperStream, TrackedStream};
use bytes::Bytes;
use hillstall_proxy_core::discovery::{BoxFuture, Discovery, RESPONSE_TIMEOUT};
use hillstall_proxy_core::endpoints::EndpointList;
use hillstall_proxy_core::tuning::Tuning;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Frame, Incoming};
use hyper::{header::HOST, Request, StatusCode};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A watch sends something every 2 s. One that is silent for this long is dead: a machine that was cut off never
/// closes its connections, and the endpoint list counts as outdated soon after.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Longest wait for a connection: a machine that was cut off never accepts one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest line of a watch, and longest response with a whole list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Where the whole list is; a watch adds its parameters.
const HOSTS_PATH: &str = "/discovery/hosts";

/// A client of the platform's discovery service.
pub struct HttpDiscovery;

impl Discovery for HttpDiscovery {
    fn watch<'a>(
        &'a self,
        address: SocketAddr,
        index: &'a mut Option<u64>,
        take: &'a mut dyn FnMut(EndpointList),
    ) -> BoxFuture<'a, String> {
        Box::pin(async move { watch(address, index, take).await.to_string() })
    }

    fn fetch(&self, address: SocketAddr) -> BoxFuture<'_, Option<EndpointList>> {
        Box::pin(fetch(address))
    }
}

/// Why a watch ended, or a list could not be had. The texts go to the log.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// No connection came up in time.
    #[error("no connection")]
    ConnectTimeout,
    /// The connection was refused.
    #[error("{0}")]
    Connect(#[source] std::io::Error),
    /// The HTTP exchange failed.
    #[error("{0}")]
    Http(#[source] hyper::Error),
    /// The request could not be built.
    #[error("{0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The service answered with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// No head of a response came in time.
    #[error("no answer")]
    ResponseTimeout,
    /// The whole list, from which the watch starts, could not be had.
    #[error("no whole list")]
    NoSnapshot,
    /// Nothing came for too long.
    #[error("it fell silent")]
    Silent,
    /// A line is not an endpoint list.
    #[error("garbled list: {0}")]
    InvalidList(#[source] serde_json::Error),
    /// A line is longer than any list.
    #[error("a line is too long")]
    LineTooLong,
    /// The service ended the watch.
    #[error("it ended")]
    Ended,
}

/// Sends a GET request. Gives the body of the response, and the connection that has to be driven to read it.
async fn get(
    address: SocketAddr,
    path: &str,
) -> Result<(Incoming, impl Future<Output = hyper::Result<()>>), WatchError> {
    let socket = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(socket) => socket.map_err(WatchError::Connect)?,
        Err(_elapsed) => return Err(WatchError::ConnectTimeout),
    };
    let stream = HyperStream(TrackedStream::new(socket, &Tuning::default()));
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(stream).await.map_err(WatchError::Http)?;
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(WatchError::InvalidRequest)?;
    let mut connection = Box::pin(connection);
    let response = sender.send_request(request);
    tokio::pin!(response);
    let response = tokio::select! {
        biased;
        response = &mut response => response,
        _ = &mut connection => response.await,
    };
    let response = response.map_err(WatchError::Http)?;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    // The sender goes along: without one the connection would end.
    Ok((response.into_body(), async move {
        let _sender = sender;
        connection.await
    }))
}

/// Reads a response line by line, and gives each list to `take`; returns why it ended.
async fn read_lists(address: SocketAddr, path: &str, mut take: impl FnMut(EndpointList)) -> WatchError {
    let (mut body, connection) = match timeout(RESPONSE_TIMEOUT, get(address, path)).await {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) => return error,
        Err(_elapsed) => return WatchError::ResponseTimeout,
    };
    tokio::pin!(connection);
    let mut is_connected = true;
    let mut text: Vec<u8> = Vec::new();
    loop {
        let frame = next_frame(&mut body, connection.as_mut(), &mut is_connected);
        let has_ended = match timeout(WATCH_SILENCE_TIMEOUT, frame).await {
            Err(_elapsed) => return WatchError::Silent,
            Ok(Some(Err(error))) => return WatchError::Http(error),
            Ok(Some(Ok(frame))) => {
                text.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                false
            }
            // The last line may have no line end.
            Ok(None) => {
                text.push(b'\n');
                true
            }
        };
        if let Err(error) = take_complete_lines(&mut text, &mut take) {
            return error;
        }
        if has_ended {
            return WatchError::Ended;
        }
        if text.len() > MAX_LIST_BYTES {
            return WatchError::LineTooLong;
        }
    }
}

/// The next frame of a body, while its connection is driven; `None` at the end of the body.
async fn next_frame(
    body: &mut Incoming,
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    is_connected: &mut bool,
) -> Option<hyper::Result<Frame<Bytes>>> {
    loop {
        tokio::select! {
            biased;
            frame = body.frame() => return frame,
            _ = &mut connection, if *is_connected => *is_connected = false,
        }
    }
}

/// Takes the complete lines out of `text` and gives their lists to `take`.
fn take_complete_lines(text: &mut Vec<u8>, take: &mut impl FnMut(EndpointList)) -> Result<(), WatchError> {
    let complete = text.iter().rposition(|byte| *byte == b'\n').map_or(0, |last| last + 1);
    for line in text[..complete].split(|byte| *byte == b'\n') {
        if !line.trim_ascii().is_empty() {
            take(serde_json::from_slice(line).map_err(WatchError::InvalidList)?);
        }
    }
    text.drain(..complete);
    Ok(())
}

/// Watches from version `index` until the watch ends, and gives why. Where no version is known, the whole list is
/// fetched first: versions of one address mean nothing at another.
async fn watch(
    address: SocketAddr,
    index: &mut Option<u64>,
    take: &mut dyn FnMut(EndpointList),
) -> WatchError {
    let from = match *index {
        Some(from) => from,
        None => {
            let Some(list) = fetch(address).await else { return WatchError::NoSnapshot };
            let from = *index.insert(list.version);
            take(list);
            from
        }
    };
    let path = format!("{HOSTS_PATH}?stream=1&index={from}");
    read_lists(address, &path, |list| {
        *index = Some(list.version);
        take(list);
    })
    .await
}

/// Fetches the whole list once; it may span several lines.
async fn fetch(address: SocketAddr) -> Option<EndpointList> {
    let response = async {
        let (body, connection) = get(address, HOSTS_PATH).await.ok()?;
        tokio::pin!(connection);
        let body = Limited::new(body, MAX_LIST_BYTES).collect();
        tokio::pin!(body);
        let body = tokio::select! {
            biased;
            body = &mut body => body,
            _ = &mut connection => body.await,
        };
        let list: EndpointList = serde_json::from_slice(&body.ok()?.to_bytes()).ok()?;
        Some(EndpointList { is_snapshot: true, ..list })
    };
    timeout(RESPONSE_TIMEOUT, response).await.ok()?
}
