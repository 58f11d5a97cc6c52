//! Faults of network links between clients, proxies, machines and discovery.

use super::World;
use crate::scenario::{LinkFaultMode, LinkKind};

/// The state of a link, which decides what happens to a message on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LinkState {
    /// The message arrives, delayed by this many milliseconds beyond the usual.
    Open(f64),
    /// Nothing passes until this simulated time, in milliseconds.
    Blocked(f64),
    /// Connections are refused.
    Refused,
    /// Connections are reset.
    Broken,
}

impl World {
    pub(super) fn switch_link_fault(&mut self, index: usize, begins: bool) {
        self.active_link_faults.retain(|cut| *cut != index);
        if begins {
            return self.active_link_faults.push(index);
        }
        for (proxy, machine) in std::mem::take(&mut self.missed_notices) {
            match self.is_cut_off_from_discovery(proxy) {
                true => self.missed_notices.push((proxy, machine)),
                false => self.notify_of_machine(proxy, machine),
            }
        }
    }

    /// The state of a proxy's link of a kind. `to` is the zone of the machine at the other end, if that is a
    /// machine. Where several faults affect the link, the one that began first counts.
    fn link_state(&self, link: LinkKind, proxy: usize, to: Option<usize>) -> LinkState {
        let proxy_state = &self.proxies[proxy];
        let rank_and_count = (proxy_state.rank, self.proxies_of_tier[proxy_state.tier].len());
        for index in &self.active_link_faults {
            let failure = &self.parameters.failures[*index];
            let fault = &failure.link_fault;
            let affects_link = fault.link == link
                && (link == LinkKind::ClientFront || failure.tier == proxy_state.tier)
                && fault.affects_proxy(failure.fraction, rank_and_count, proxy_state.zone)
                && to.is_none_or(|zone| fault.affects_zone(zone));
            if !affects_link {
                continue;
            }
            return match fault.mode {
                LinkFaultMode::Delay => LinkState::Open(fault.delay),
                LinkFaultMode::Refuse => LinkState::Refused,
                LinkFaultMode::Reset => LinkState::Broken,
                LinkFaultMode::Silent | LinkFaultMode::LoseForth | LinkFaultMode::LoseBack => {
                    LinkState::Blocked(failure.at + failure.duration)
                }
            };
        }
        LinkState::Open(0.0)
    }

    pub(super) fn link_to_machine(&self, proxy: usize, host: usize) -> LinkState {
        self.link_state(LinkKind::ProxyServer, proxy, Some(self.hosts[host].zone))
    }

    pub(super) fn link_from_clients(&self, proxy: usize) -> LinkState {
        self.link_state(LinkKind::ClientFront, proxy, None)
    }

    /// Whether a proxy is cut off from the discovery service.
    pub(super) fn is_cut_off_from_discovery(&self, proxy: usize) -> bool {
        !matches!(self.link_state(LinkKind::ProxyDiscovery, proxy, None), LinkState::Open(_))
    }
}
