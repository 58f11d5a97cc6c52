//! The heads of calls: what a call is, in the module's terms, or why it can't be one.

use super::Server;
use crate::message::TIMEOUT_HEADER;
use hillstall_decision::RetrySafety;
use hillstall_proxy_core::driver::RequestMetadata;
use hillstall_proxy_core::endpoints::hash;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Names a call; no two that are open may have the same.
pub(super) const REQUEST_ID: &str = "request-id";

/// An error that the caller itself is at fault for.
pub(super) type Bad = (StatusCode, &'static str);

impl Server {
    /// Checks all that comes before the body.
    pub(super) fn read_head(&self, head: &Parts) -> Result<(RequestMetadata, u32), Bad> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let id = single_value(&head.headers, REQUEST_ID).ok_or(bad("no single Request-Id"))?;
        if id.is_empty() || id.len() > 128 || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(bad("malformed Request-Id"));
        }
        let name = single_value(&head.headers, "request-class").ok_or(bad("no single Request-Class"))?;
        let class = self.classes.iter().position(|c| c.name == name).ok_or(bad("unknown class"))?;
        let tenant = match self.tenants.is_empty() {
            true => 0,
            false => {
                let name = single_value(&head.headers, "tenant").ok_or(bad("no single Tenant"))?;
                self.tenants.iter().position(|t| t.name == name).ok_or(bad("unknown tenant"))?
            }
        };
        let text = single_value(&head.headers, TIMEOUT_HEADER.as_str())
            .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let timeout_ms: u32 = text.and_then(|t| t.parse().ok()).ok_or(bad("no usable Request-Timeout-Ms"))?;
        // No client waits longer than its class's, whatever it says.
        let most = Some(self.classes[class].deadline_ms).filter(|most| *most >= 1.0).unwrap_or(f64::MAX);
        let timeout_ms = timeout_ms.min(most as u32);
        let keys = head.headers.get_all("idempotency-key").iter().count();
        let (method, needed) = match self.classes[class].retry_safety {
            RetrySafety::Idempotent => (Method::GET, None),
            RetrySafety::IdempotencyKey => (Method::POST, Some(1)),
            RetrySafety::NonIdempotent => (Method::POST, Some(0)),
        };
        let asks_head = head.method == Method::HEAD && method == Method::GET;
        if head.method != method && !asks_head {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
        if needed.is_some_and(|needed| needed != keys) {
            return Err(bad("Idempotency-Key does not go with this class"));
        }
        let info = head.headers.get("request-info").and_then(|v| v.to_str().ok()).unwrap_or_default();
        let asked = RequestMetadata {
            class: class as u8,
            tenant: tenant as u16,
            key: routing_key(head.uri.path()),
            expected_work_ms: single_value(&head.headers, "work-hint")
                .and_then(|t| t.parse::<f64>().ok())
                .filter(|us| us.is_finite() && *us >= 0.0)
                .map(|us| us / 1000.0),
            is_retry: single_value(&head.headers, "client-retry") == Some("1"),
            is_write: info.split(',').any(|part| part.trim() == "write=1"),
            deadline: Instant::now(),
        };
        Ok((asked, timeout_ms))
    }
}

/// The value of a header that stands there once.
pub(super) fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then(|| value.to_str().ok()).flatten()
}

/// What a request is about: the last part of its path.
fn routing_key(path: &str) -> Option<u64> {
    let last = path.rsplit('/').next().filter(|last| !last.is_empty())?;
    Some(u64::from_str_radix(last, 16).unwrap_or_else(|_| hash(last.as_bytes())))
}

/// Keeps the id of an open request; no second request may have it meanwhile.
pub(super) struct OpenRequestId {
    ids: Rc<RefCell<FxHashSet<String>>>,
    id: String,
}

impl OpenRequestId {
    pub(super) fn new(ids: &Rc<RefCell<FxHashSet<String>>>, id: &str) -> Option<OpenRequestId> {
        let fresh = ids.borrow_mut().insert(id.to_string());
        fresh.then(|| OpenRequestId { ids: ids.clone(), id: id.to_string() })
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
