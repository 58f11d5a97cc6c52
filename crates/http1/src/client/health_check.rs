//! Health checks of backends.

use super::HttpClient;
use crate::backend_connection::{BackendConnection, ReceivedBody, ReceivedResponse};
use crate::body_buffer::BufferedPieces;
use crate::request_body::AttemptBody;
use crate::stream::TrackedStream;
use hillstall_decision::{LoadReport, Outcome};
use hillstall_proxy_core::transport::AttemptResult;
use hyper::{header, Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::time::timeout_at;

/// Path of a health check without a load report.
const ALIVE_PATH: &str = "/alive";
/// Path of a health check that requests a load report.
const LOAD_PATH: &str = "/metrics/load";
/// Timeout of a health check, as a multiple of the connect timeout.
const TIMEOUT_FACTOR: u32 = 2;

impl HttpClient {
    /// Checks the health of a backend once, on a new connection.
    pub(super) async fn health_check(
        &self,
        address: SocketAddr,
        wants_load_report: bool,
    ) -> AttemptResult<HttpClient> {
        let until = Instant::now() + self.connect_timeout * TIMEOUT_FACTOR;
        let mut connection = match self.connect(address, until).await {
            Ok(connection) => connection,
            Err(outcome) => return AttemptResult::without_response(outcome),
        };
        let path = if wants_load_report { LOAD_PATH } else { ALIVE_PATH };
        let request = health_check_request(address, path, connection.stream().clone());
        match timeout_at(until.into(), connection.exchange(request, &self.limits)).await {
            Err(_elapsed) => AttemptResult::without_response(Outcome::Timeout),
            Ok(Err(_)) => AttemptResult::without_response(Outcome::Reset),
            Ok(Ok(response)) => self.health_check_result(&connection, response),
        }
    }

    fn health_check_result(
        &self,
        connection: &BackendConnection,
        response: ReceivedResponse,
    ) -> AttemptResult<HttpClient> {
        AttemptResult {
            outcome: if response.status == StatusCode::OK { Outcome::Ok } else { Outcome::Error },
            ended_at: connection.stream().last_read(),
            load_report: self.load_report(&response),
            response: None,
            invalid_request: None,
        }
    }

    /// The load report in the headers of a response or, if they have none, in its body.
    fn load_report(&self, response: &ReceivedResponse) -> LoadReport {
        let report = self.load_report_parser.from_headers(&response.headers);
        match &response.body {
            Some(ReceivedBody::Complete(body)) if report.len == 0 => {
                self.load_report_parser.parse(std::str::from_utf8(&body.bytes).unwrap_or_default())
            }
            _ => report,
        }
    }
}

fn health_check_request(
    address: SocketAddr,
    path: &'static str,
    stream: Rc<TrackedStream>,
) -> Request<AttemptBody> {
    Request::get(path)
        .header(header::HOST, address.to_string())
        .body(AttemptBody::Buffered(BufferedPieces::default(), stream))
        .expect("a constant path and a socket address form a valid request")
}
