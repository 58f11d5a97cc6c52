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

/// Maximum time without data on a watch; the service sends something every 2 s. An unreachable machine does
/// not close its connections, so a dead watch must be detected before the endpoint list counts as outdated.
const WATCH_READ_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Longest wait for a connection. A connect to an unreachable machine never completes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum length of one line of a watch, and of a response with the full list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Path of the full list. A watch adds query parameters.
const HOSTS_PATH: &str = "/discovery/hosts";

/// A client of the platform's discovery service.
pub struct HttpDiscovery;

impl Discovery for HttpDiscovery {
    fn watch<'a>(
        &'a self,
        address: SocketAddr,
        version: &'a mut Option<u64>,
        on_list: &'a mut dyn FnMut(EndpointList),
    ) -> BoxFuture<'a, String> {
        Box::pin(async move { watch(address, version, on_list).await.to_string() })
    }

    fn fetch(&self, address: SocketAddr) -> BoxFuture<'_, Option<EndpointList>> {
        Box::pin(fetch(address))
    }
}

/// Why a watch ended. The text is logged as the cause.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// The connect did not complete in time.
    #[error("connect timed out after {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// The connect failed.
    #[error("connect failed: {0}")]
    Connect(#[source] std::io::Error),
    /// The HTTP exchange failed.
    #[error("HTTP exchange failed: {0}")]
    Http(#[source] hyper::Error),
    /// The request could not be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The service answered with a status other than 200.
    #[error("unexpected response status {0}")]
    Status(StatusCode),
    /// The head of the response did not arrive in time.
    #[error("no response within {} ms", RESPONSE_TIMEOUT.as_millis())]
    ResponseTimeout,
    /// The full list, from whose version the watch starts, could not be fetched.
    #[error("the full endpoint list could not be fetched")]
    NoSnapshot,
    /// No data arrived for [`WATCH_READ_TIMEOUT`].
    #[error("no data within {} ms", WATCH_READ_TIMEOUT.as_millis())]
    ReadTimeout,
    /// A line is not an endpoint list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[source] serde_json::Error),
    /// A line exceeds [`MAX_LIST_BYTES`].
    #[error("a line of the watch exceeds {MAX_LIST_BYTES} bytes")]
    LineTooLong,
    /// The service ended the watch.
    #[error("ended by the discovery service")]
    Ended,
}

/// Sends a GET request. Returns the response body, and the connection, which must be polled while the body is
/// read.
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
    // Kept with the connection, which ends when its sender is dropped.
    Ok((response.into_body(), async move {
        let _sender = sender;
        connection.await
    }))
}

/// Reads a watch line by line and passes each list to `on_list`. Returns why the watch ended.
async fn read_lists(address: SocketAddr, path: &str, mut on_list: impl FnMut(EndpointList)) -> WatchError {
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
        let has_ended = match timeout(WATCH_READ_TIMEOUT, frame).await {
            Err(_elapsed) => return WatchError::ReadTimeout,
            Ok(Some(Err(error))) => return WatchError::Http(error),
            Ok(Some(Ok(frame))) => {
                text.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                false
            }
            // The last line may lack its line end.
            Ok(None) => {
                text.push(b'\n');
                true
            }
        };
        if let Err(error) = parse_complete_lines(&mut text, &mut on_list) {
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

/// Waits for the next frame of a body while polling its connection; `None` at the end of the body.
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

/// Removes the complete lines from `text` and passes their lists to `on_list`.
fn parse_complete_lines(
    text: &mut Vec<u8>,
    on_list: &mut impl FnMut(EndpointList),
) -> Result<(), WatchError> {
    let complete = text.iter().rposition(|byte| *byte == b'\n').map_or(0, |last| last + 1);
    for line in text[..complete].split(|byte| *byte == b'\n') {
        if !line.trim_ascii().is_empty() {
            on_list(serde_json::from_slice(line).map_err(WatchError::InvalidList)?);
        }
    }
    text.drain(..complete);
    Ok(())
}

/// Watches from `version` until the watch ends, and returns why it ended. If `version` is `None`, the full
/// list is fetched first, because a version is meaningful only at the address that sent it.
async fn watch(
    address: SocketAddr,
    version: &mut Option<u64>,
    on_list: &mut dyn FnMut(EndpointList),
) -> WatchError {
    let from = match *version {
        Some(from) => from,
        None => {
            let Some(list) = fetch(address).await else { return WatchError::NoSnapshot };
            let from = *version.insert(list.version);
            on_list(list);
            from
        }
    };
    let path = format!("{HOSTS_PATH}?stream=1&index={from}");
    read_lists(address, &path, |list| {
        *version = Some(list.version);
        on_list(list);
    })
    .await
}

/// Fetches the full list once. The JSON text may span several lines.
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
