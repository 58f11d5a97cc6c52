//! What an operator may tune. The defaults are the platform's; all bounds are those of the operator file.

use std::time::Duration;

/// Times and sizes that hold for connections from when they are next looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// A caller's connection that has carried nothing for this long is closed.
    pub caller_idle: Duration,
    /// Longest wait for a caller's whole request, from connecting, or on a used connection from its first byte; a
    /// longer body has as long for each `request_step` bytes.
    pub request_time: Duration,
    /// See `request_time`.
    pub request_step: usize,
    /// When a caller that there is no room for may come back.
    pub come_back: Duration,
    /// How long a connection has said nothing when what the protocol holds for it is let go.
    pub park: Duration,
    /// The largest body that is held, on either side, and so can be sent again; a longer one passes.
    pub held_most: usize,
    /// The longest message on either side.
    pub message_most: usize,
    /// The most that is read ahead on one connection, so also the largest head.
    pub read_ahead: usize,
    /// Longest wait for a peer to take, or to give, the next bytes of a message that passes.
    pub stall: Duration,
    /// What the system may hold of a message for a peer that is slow: more would only hide its pace.
    pub system_buffer: usize,
    /// Longest wait for the next bytes of an answer that is held.
    pub answer_time: Duration,
    /// How long an answer that does not tell its length may come before it begins to pass.
    pub answer_hold: Duration,
    /// How long a connection to a server rests after an answer.
    pub pool_rest: Duration,
    /// Connections kept for one server while they carry nothing.
    pub pool_kept: usize,
    /// Waits for a rest in a short while that are borne before another connection is opened.
    pub pool_waits: u32,
    /// How long a drain leaves kept connections alone.
    pub drain_notice: Duration,
    /// How long a connection must have been idle to be closed by a drain or a stop: one that has just come may be
    /// about to ask.
    pub drain_rest: Duration,
    /// Whether a record of each call is written.
    pub log_calls: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        let ms = Duration::from_millis;
        Tuning {
            caller_idle: ms(5_000),
            request_time: ms(2_500),
            request_step: 16 * 1024,
            come_back: ms(500),
            park: ms(50),
            held_most: 64 * 1024,
            message_most: 32 << 20,
            read_ahead: 16 * 1024,
            stall: ms(5_000),
            system_buffer: 128 * 1024,
            answer_time: ms(1_000),
            answer_hold: ms(100),
            pool_rest: ms(2),
            pool_kept: 64,
            pool_waits: 3,
            // The front asks every 0.1 s and sends new connections for 0.2 s more, and callers turned away before
            // that would come straight back.
            drain_notice: ms(400),
            drain_rest: ms(250),
            log_calls: false,
        }
    }
}
