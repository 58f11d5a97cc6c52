//! Backends that answer every request at once.

use httparse::{Request, EMPTY_HEADER};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The largest request head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// Makes the body of a response from a request.
pub type ResponseBody = dyn Fn(&str, &str) -> Vec<u8>;

/// Counts of the backends' connections, which are costly at real ones.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Opened since the start.
    pub opened: AtomicU64,
    /// Open at the moment.
    pub open: AtomicU64,
}

/// Serves every connection until its task is dropped. `answers` gets method and target.
pub async fn serve(listener: TcpListener, answers: Rc<ResponseBody>, connections: Arc<ConnectionCounts>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (answers, connections) = (answers.clone(), connections.clone());
        spawn_local(async move {
            connections.opened.fetch_add(1, Ordering::Relaxed);
            connections.open.fetch_add(1, Ordering::Relaxed);
            // A peer that leaves, or sends no valid request, ends only its own connection.
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
            let mut rest = [0; 4096];
            let most = body_left.min(rest.len());
            match stream.read(&mut rest[..most]).await? {
                0 => return Ok(()),
                n => body_left -= n,
            }
        }
        stream.write_all(&written).await?;
        written.clear();
    }
}

/// Reads one head and writes its response; returns the length of the request, `None` if its head is incomplete
/// (or can't be read, which ends when the buffer is full).
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
