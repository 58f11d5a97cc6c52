//! A stand-in for the platform's discovery service. `GET /discovery/hosts` returns the whole endpoint list;
//! with `stream=1` the response stays open and carries an empty line every 2 s as a heartbeat. The list never
//! changes.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

const HEARTBEAT: Duration = Duration::from_secs(2);

/// The endpoint list as JSON, with all these backends ready; they are called `server-0`, `server-1` and so
/// on.
pub fn endpoint_list(servers: &[SocketAddr]) -> Value {
    let endpoints: Vec<Value> = servers
        .iter()
        .enumerate()
        .map(|(n, address)| json!({"name": format!("server-{n}"), "address": address, "status": "ready"}))
        .collect();
    json!({"index": 1, "snapshot": true, "endpoints": endpoints})
}

/// Serves one endpoint list until the task is dropped.
pub async fn serve(listener: TcpListener, list: Value) {
    while let Ok((stream, _)) = listener.accept().await {
        let list = list.clone();
        spawn_local(async move {
            let _ = connection(stream, list).await;
        });
    }
}

async fn connection(mut stream: TcpStream, list: Value) -> std::io::Result<()> {
    let mut read = Vec::new();
    while !read.windows(4).any(|w| w == b"\r\n\r\n") {
        if read.len() > 4096 || stream.read_buf(&mut read).await? == 0 {
            return Ok(());
        }
    }
    let line = format!("{list}\n");
    if !String::from_utf8_lossy(&read).contains("stream=1") {
        let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", line.len());
        return stream.write_all((head + &line).as_bytes()).await;
    }
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
    loop {
        sleep(HEARTBEAT).await;
        stream.write_all(b"1\r\n\n\r\n").await?;
    }
}
