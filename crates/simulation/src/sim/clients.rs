//! Open-loop clients, and the load balancer in front of the first tier's proxies. A request starts when the
//! arrival process says so, whatever became of earlier ones.

use super::accounting::RequestOutcome;
use super::arrivals::{weighted_index, Arrival};
use super::link_faults::LinkState;
use super::queue::{ResponseKind, SimEvent};
use super::{ClientRequest, RequestSource, World};
use crate::random::uniform;
use hillstall_decision::Event;

impl World {
    /// The next client request starts, and the one after it is scheduled.
    pub(super) fn start_next_request(&mut self) {
        if let Some(arrival) = self.next_arrival.take() {
            self.start_client_request(arrival);
        }
        self.next_arrival = self.arrivals.next();
        if let Some(next) = self.next_arrival {
            self.queue.schedule(next.at_ms, SimEvent::Arrival);
        }
    }

    fn start_client_request(&mut self, arrival: Arrival) {
        let Arrival { class, tenant, zone, work_ms: work, weight, .. } = arrival;
        self.totals.record_request(self.now, tenant, weight);
        self.client_requests.push(ClientRequest {
            class,
            tenant,
            work,
            weight,
            started_at: self.now,
            deadline_at: self.now + self.parameters.classes[class].deadline,
            zone,
            attempt_number: 0,
            proxy_request: None,
            closed: false,
        });
        self.start_client_attempt(self.client_requests.len() - 1, 0.0);
    }

    /// Schedules a client's attempt after a wait. The attempt's timeout counts from its start.
    fn start_client_attempt(&mut self, client_request: usize, wait: f64) {
        let state = &self.client_requests[client_request];
        let (attempt_number, at) = (state.attempt_number, self.now + wait);
        let timeout_at = (at + self.attempt_timeout(state.class)).min(state.deadline_at);
        self.totals.record_client_attempt(at);
        self.queue.schedule(
            at + self.parameters.client_delay,
            SimEvent::ClientAttempt { client_request, attempt_number },
        );
        self.queue.schedule(timeout_at, SimEvent::ClientAttemptTimeout { client_request, attempt_number });
    }

    /// How long a client of a class waits for the response to one attempt, in milliseconds.
    fn attempt_timeout(&self, class: usize) -> f64 {
        self.parameters.attempt_timeout_fraction * self.parameters.classes[class].deadline
    }

    /// Picks the proxy for a client's attempt as the load balancer does: one in the client's zone, or in any
    /// zone if that has none. `None` if no proxy is left.
    fn choose_proxy(&mut self, zone: usize) -> Option<usize> {
        // The load balancer avoids a proxy that is gone only after `front_notice_delay`.
        let listed = |p: &&usize| {
            let proxy = &self.proxies[**p];
            !proxy.draining && (proxy.alive || self.now - proxy.gone_at < self.parameters.front_notice_delay)
        };
        let listed: Vec<usize> = self.proxies_of_tier[0].iter().filter(listed).copied().collect();
        let near: Vec<usize> = listed.iter().filter(|p| self.proxies[**p].zone == zone).copied().collect();
        let candidates = if near.is_empty() { listed } else { near };
        if candidates.is_empty() {
            return None;
        }
        let weights = candidates.iter().map(|p| self.proxies[*p].traffic_weight);
        Some(candidates[weighted_index(uniform(&mut self.network_rng), weights)])
    }

    /// A client's attempt reaches the load balancer in front of the first tier's proxies.
    pub(super) fn client_attempt_arrives(&mut self, client_request: usize, attempt_number: u32) {
        let state = &self.client_requests[client_request];
        if state.closed || state.attempt_number != attempt_number {
            return;
        }
        let (class, tenant, work) = (state.class, state.tenant, state.work);
        let (zone, deadline) = (state.zone, state.deadline_at);
        let Some(proxy) = self.choose_proxy(zone) else { return };
        if !self.proxies[proxy].alive {
            // If the proxy's machine is gone too, nothing refuses the connection, and the attempt times out.
            if !self.proxies[proxy].silent {
                self.fail_client_attempt(client_request, attempt_number);
            }
            return;
        }
        match self.link_from_clients(proxy) {
            LinkState::Open(_) => {}
            LinkState::Blocked(_) => return,
            LinkState::Refused | LinkState::Broken => {
                return self.fail_client_attempt(client_request, attempt_number)
            }
        }
        self.totals.record_arrival_at(proxy);
        self.side_effects.on_arrival(class);
        let attempt_timeout = self.attempt_timeout(class);
        // The proxy must send its response one network delay before the client's timeout or deadline.
        let ttl = attempt_timeout.min(deadline - self.now + self.parameters.client_delay)
            - 2.0 * self.parameters.client_delay;
        self.client_requests[client_request].proxy_request = Some(self.requests.len());
        self.receive_request(
            proxy,
            RequestSource::Client { client_request, attempt_number },
            (class, tenant),
            work,
            ttl.max(0.0),
        );
    }

    /// A client's attempt times out: the client closes it, and may retry.
    pub(super) fn client_attempt_timed_out(&mut self, client_request: usize, attempt_number: u32) {
        if self.client_requests[client_request].closed
            || self.client_requests[client_request].attempt_number != attempt_number
        {
            return;
        }
        if let Some(request) = self.client_requests[client_request].proxy_request {
            self.client_gone(request);
        }
        self.retry_or_close(client_request, RequestOutcome::Failed, 0.0);
    }

    /// The client of a request at a proxy has disconnected, and needs no response.
    pub(super) fn client_gone(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if state.answered || state.abandoned {
            return;
        }
        state.abandoned = true;
        let proxy = state.proxy;
        if self.proxies[proxy].alive {
            self.pass_event(proxy, Event::ClientGone { request: request as u64 });
        }
    }

    pub(super) fn response_arrives(
        &mut self,
        client_request: usize,
        attempt_number: u32,
        end: ResponseKind,
        retry_after: f64,
    ) {
        if self.client_requests[client_request].closed
            || self.client_requests[client_request].attempt_number != attempt_number
        {
            return;
        }
        match end {
            ResponseKind::Served => {
                let state = &mut self.client_requests[client_request];
                state.closed = true;
                let latency_ms = self.now - state.started_at;
                let (first_at, tenant, weight) = (state.started_at, state.tenant, state.weight);
                let within_objective = latency_ms <= self.parameters.classes[state.class].latency_objective;
                self.totals.record_outcome(
                    first_at,
                    (tenant, weight),
                    RequestOutcome::Answered { latency_ms, within_objective },
                );
            }
            ResponseKind::Rejected => {
                self.retry_or_close(client_request, RequestOutcome::Rejected, retry_after)
            }
            ResponseKind::Failed => self.retry_or_close(client_request, RequestOutcome::Failed, 0.0),
        }
    }

    fn retry_or_close(&mut self, client_request: usize, ended: RequestOutcome, retry_after: f64) {
        let waits_as_told = retry_after > 0.0 && uniform(&mut self.network_rng) < self.parameters.honour;
        let wait = if waits_as_told {
            retry_after.max(self.parameters.retry_wait)
        } else {
            self.parameters.retry_wait
        };
        let state = &mut self.client_requests[client_request];
        state.attempt_number += 1;
        state.proxy_request = None;
        if state.attempt_number > self.parameters.retries || self.now + wait >= state.deadline_at {
            state.closed = true;
            let first_at = state.started_at;
            return self.totals.record_outcome(first_at, (0, 0.0), ended);
        }
        self.start_client_attempt(client_request, wait);
    }
}
