//! Faults of network links.

use super::World;
use crate::scenario::{LinkFaultMode, LinkKind};

/// What becomes of a message on a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LinkState {
    /// It arrives so much later than usual, in milliseconds.
    Open(f64),
    /// Nothing passes until this time, in milliseconds.
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

    /// The state of a proxy's link of a kind; `to` is the zone of the machine at its other end.
    fn link_state(&self, link: LinkKind, proxy: usize, to: Option<usize>) -> LinkState {
        let of = &self.proxies[proxy];
        let place = (of.rank, self.proxies_of_tier[of.tier].len());
        for index in &self.active_link_faults {
            let failure = &self.parameters.failures[*index];
            let cut = &failure.link_fault;
            let meant = cut.link == link
                && (link == LinkKind::ClientFront || failure.tier == of.tier)
                && cut.affects_proxy(failure.fraction, place, of.zone)
                && to.is_none_or(|zone| cut.affects_zone(zone));
            if !meant {
                continue;
            }
            return match cut.mode {
                LinkFaultMode::Delay => LinkState::Open(cut.delay),
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
