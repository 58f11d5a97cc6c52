//! Every key of the operator file: its unit, bounds, default and meaning. The file, the environment, the flags,
//! `check` and `config show` all go by this one table.

use super::value::Kind;
use hillstall_proxy_core::tuning::Tuning;
use std::time::Duration;

/// One key.
pub struct Key {
    /// Its place in the file: table and name.
    pub name: &'static str,
    /// What its value may be.
    pub kind: Kind,
    /// The value where nobody says anything.
    pub default: &'static str,
    /// What it does.
    pub help: &'static str,
    /// Whether SIGHUP changes it; others need a new process.
    pub reloads: bool,
}

impl Key {
    /// The environment variable that goes before the file.
    pub fn variable(&self) -> String {
        format!("HILLSTALL_{}", self.name.replace('.', "_").to_uppercase())
    }
}

const fn time(least_ms: u64, most_ms: u64) -> Kind {
    Kind::Time { least: Duration::from_millis(least_ms), most: Duration::from_millis(most_ms) }
}

const fn size(least: usize, most: usize) -> Kind {
    Kind::Size { least, most }
}

const fn key(name: &'static str, kind: Kind, default: &'static str, help: &'static str) -> Key {
    Key { name, kind, default, help, reloads: true }
}

const fn fixed(name: &'static str, kind: Kind, default: &'static str, help: &'static str) -> Key {
    Key { name, kind, default, help, reloads: false }
}

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// All keys, in the order in which they are shown.
pub const KEYS: &[Key] = &[
    fixed("log.format", Kind::Word(&["text", "json"]), "text", "text for people, JSON lines for programs"),
    fixed(
        "log.level",
        Kind::Word(&["error", "warn", "info", "debug"]),
        "info",
        "the least important records written",
    ),
    key("log.calls", Kind::Switch, "false", "one record a call: class, server, attempts, end, phases"),
    key("callers.idle", time(100, 3_600_000), "5s", "a caller's connection that carried nothing is closed"),
    key("callers.request_time", time(100, 600_000), "2500ms", "longest wait for a whole request, or a step"),
    key("callers.request_step", size(KIB, 64 * MIB), "16KiB", "bytes that a longer body has that time for"),
    key("callers.come_back", time(0, 60_000), "500ms", "wait that a refusal for want of room states"),
    key("callers.park", time(1, 60_000), "50ms", "silence after which a connection's buffers are let go"),
    key(
        "messages.held",
        size(KIB, 64 * MIB),
        "64KiB",
        "largest body held whole, so that it can be sent again",
    ),
    key("messages.longest", size(KIB, 1024 * MIB), "32MiB", "longest message on either side"),
    key("messages.read_ahead", size(8 * KIB, 4 * MIB), "16KiB", "most read ahead, so also the largest head"),
    key("messages.stall", time(100, 600_000), "5s", "longest wait for progress of a message that passes"),
    key("messages.system_buffer", size(4 * KIB, 16 * MIB), "128KiB", "what the system may hold of a message"),
    key("servers.answer_time", time(10, 600_000), "1s", "longest wait for more of an answer that is held"),
    key("servers.answer_hold", time(0, 10_000), "100ms", "hold of an answer that does not tell its length"),
    key("pool.rest", time(0, 1_000), "2ms", "how long a connection rests after an answer"),
    key("pool.kept", Kind::Count { least: 1, most: 65_536 }, "64", "idle connections kept for one server"),
    key(
        "pool.waits",
        Kind::Count { least: 0, most: 1_000_000 },
        "3",
        "waits for a rest borne before opening one",
    ),
    key("drain.notice", time(0, 60_000), "400ms", "how long a drain leaves kept connections alone"),
    key("drain.rest", time(0, 60_000), "250ms", "idle time after which a drain closes a connection"),
];

/// The tuning that values of these keys make. The tests hold its defaults against those of the core.
pub fn tuning(operator: &super::Operator) -> Tuning {
    Tuning {
        client_idle_timeout: operator.time("callers.idle"),
        request_timeout: operator.time("callers.request_time"),
        request_bytes_per_timeout: operator.size("callers.request_step"),
        retry_after: operator.time("callers.come_back"),
        buffer_release_after: operator.time("callers.park"),
        max_buffered_body: operator.size("messages.held"),
        max_message: operator.size("messages.longest"),
        read_ahead: operator.size("messages.read_ahead"),
        stall_timeout: operator.time("messages.stall"),
        socket_buffer: operator.size("messages.system_buffer"),
        response_timeout: operator.time("servers.answer_time"),
        unsized_response_hold: operator.time("servers.answer_hold"),
        min_connection_rest: operator.time("pool.rest"),
        max_idle_per_backend: operator.count("pool.kept") as usize,
        max_rest_waits: operator.count("pool.waits").min(u64::from(u32::MAX)) as u32,
        drain_notice: operator.time("drain.notice"),
        drain_idle_timeout: operator.time("drain.rest"),
        log_requests: operator.switch("log.calls"),
    }
}

/// What one key's value can't tell alone.
pub fn between(operator: &super::Operator) -> Option<(&'static str, String)> {
    if operator.size("messages.held") > operator.size("messages.longest") {
        return Some(("messages.held", "it must not be above messages.longest".to_string()));
    }
    None
}
