//! Stand-in backends that answer every request at once with status 200.

use httparse::{Request, EMPTY_HEADER};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A connection is closed when its request head is not complete within this many bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// Makes the body of a response from the method and the target of a request.
pub type ResponseBody = dyn Fn(&str, &str) -> Vec<u8>;

/// Connection counts of the stand-in backends: each new connection costs a real backend a handshake.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Connections accepted since the start.
    pub opened: AtomicU64,
    /// Connections open now.
    pub open: AtomicU64,
}

/// Accepts and serves connections until the task is dropped.
pub async fn serve(listener: TcpListener, answers: Rc<ResponseBody>, connections: Arc<ConnectionCounts>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (answers, connections) = (answers.clone(), connections.clone());
        spawn_local(async move {
            connections.opened.fetch_add(1, Ordering::Relaxed);
            connections.open.fetch_add(1, Ordering::Relaxed);
            // A peer that disconnects or sends an invalid request ends only its own connection.
            let _ = connection(stream, &*answers).await;
            connections.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn connection(mut stream: TcpStream, answers: &ResponseBody) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut read = Vec::with_capacity(1024);
    let mut written = Vec::with_capacity(1024);
    loop {
        let Some(used) = write_response(&read, answers, &mut written) else {
            if read.len() >= MAX_HEAD_BYTES || stream.read_buf(&mut read).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let mut body_left = used.saturating_sub(read.len());
        read.drain(..used.min(read.len()));
        while body_left > 0 {
            let mut buffer = [0; 4096];
            let chunk = body_left.min(buffer.len());
            match stream.read(&mut buffer[..chunk]).await? {
                0 => return Ok(()),
                n => body_left -= n,
            }
        }
        stream.write_all(&written).await?;
        written.clear();
    }
}

/// Parses one request head and appends the response to `written`. Returns the length of the request with its
/// body, or `None` if the head is incomplete or invalid; the caller closes the connection at
/// [`MAX_HEAD_BYTES`].
fn write_response(read: &[u8], answers: &ResponseBody, written: &mut Vec<u8>) -> Option<usize> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let head = match request.parse(read) {
        Ok(httparse::Status::Complete(head)) => head,
        _ => return None,
    };
    let length = |h: &&httparse::Header<'_>| h.name.eq_ignore_ascii_case("content-length");
    let length = request.headers.iter().find(length).and_then(|h| std::str::from_utf8(h.value).ok());
    let body = length.and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
    let answer = answers(request.method.unwrap_or_default(), request.path.unwrap_or_default());
    written.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ");
    written.extend_from_slice(answer.len().to_string().as_bytes());
    written.extend_from_slice(b"\r\n\r\n");
    written.extend_from_slice(&answer);
    Some(head + body)
}
