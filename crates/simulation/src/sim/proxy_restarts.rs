//! Kills and restarts of first-tier proxies.

use super::queue::{ResponseKind, SimEvent};
use super::setup::count_of_fraction;
use super::{Proxy, RequestSource, World};
use rand_xoshiro::rand_core::RngCore;

/// Time that a new proxy process takes to start.
const PROXY_START_MS: f64 = 100.0;

impl World {
    /// A fraction of the first tier's proxies, rounded to at least one, in the order of their ranks.
    pub(super) fn first_tier_proxies(&self, fraction: f64) -> Vec<usize> {
        let all = &self.proxies_of_tier[0];
        all[..count_of_fraction(fraction, all.len())].to_vec()
    }

    /// Kills a proxy's process: its connections are reset, and new ones are refused.
    pub(super) fn kill_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].alive = false;
        self.proxies[proxy].gone_at = self.now;
        let open: Vec<usize> = (0..self.requests.len())
            .filter(|a| {
                self.requests[*a].proxy == proxy
                    && !self.requests[*a].answered
                    && !self.requests[*a].abandoned
            })
            .collect();
        for request in open {
            self.requests[request].abandoned = true;
            if let Some(attempt) = self.requests[request].in_flight {
                self.queue.schedule(self.now, SimEvent::CancelArrival { attempt });
            }
            if let RequestSource::Client { client_request, attempt_number } = self.requests[request].source {
                self.fail_client_attempt(client_request, attempt_number);
            }
        }
    }

    /// Fails a client's attempt at once, because its connection was reset or refused.
    pub(super) fn fail_client_attempt(&mut self, client_request: usize, attempt_number: u32) {
        let at = self.now + self.parameters.client_delay;
        self.queue.schedule(
            at,
            SimEvent::ResponseArrival {
                client_request,
                attempt_number,
                end: ResponseKind::Failed,
                retry_after: 0.0,
            },
        );
    }

    /// A new process with the settings of an older one, and with no learned state.
    fn new_process(&mut self, of: usize) -> Proxy {
        let old = &self.proxies[of];
        let (tier, rank, zone, traffic_weight) = (old.tier, old.rank, old.zone, old.traffic_weight);
        let settings = self.parameters.settings(tier, rank, self.proxies_of_tier[tier].len(), zone);
        let policy = self.policy_name.start(settings, self.policy_seeds.next_u64());
        let gone_at = f64::MIN;
        Proxy {
            policy,
            tier,
            rank,
            zone,
            traffic_weight,
            alive: true,
            draining: false,
            silent: false,
            gone_at,
        }
    }

    pub(super) fn restart_proxy(&mut self, proxy: usize) {
        self.proxies[proxy] = self.new_process(proxy);
        self.send_endpoint_list(proxy);
    }

    /// Restarts a proxy gracefully: it completes its open requests, while a new process starts in its place.
    /// The first call begins the drain; the second, [`PROXY_START_MS`] later, puts the new process in place.
    pub(super) fn restart_gracefully(&mut self, proxy: usize) {
        if self.proxies[proxy].draining {
            // Second step: the new process is up.
            let new = self.new_process(proxy);
            let number = self.proxies.len();
            self.proxies.push(new);
            if let Some(place) = self.proxies_of_tier[0].iter_mut().find(|p| **p == proxy) {
                *place = number;
            }
            return self.send_endpoint_list(number);
        }
        if self.proxies[proxy].alive {
            self.proxies[proxy].draining = true;
            self.queue.schedule(self.now + PROXY_START_MS, SimEvent::GracefulRestart { proxy });
        }
    }
}
