//! Faults of network links.

use super::World;
use crate::scenario::{LinkFaultMode, LinkKind};

/// What becomes of a message on a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Way {
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
    pub(super) fn cut(&mut self, index: usize, begins: bool) {
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
    fn way_of(&self, link: LinkKind, proxy: usize, to: Option<usize>) -> Way {
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
                LinkFaultMode::Delay => Way::Open(cut.delay),
                LinkFaultMode::Refuse => Way::Refused,
                LinkFaultMode::Reset => Way::Broken,
                LinkFaultMode::Silent | LinkFaultMode::LoseForth | LinkFaultMode::LoseBack => {
                    Way::Blocked(failure.at + failure.duration)
                }
            };
        }
        Way::Open(0.0)
    }

    pub(super) fn way_to(&self, proxy: usize, host: usize) -> Way {
        self.way_of(LinkKind::ProxyServer, proxy, Some(self.hosts[host].zone))
    }

    pub(super) fn way_in(&self, proxy: usize) -> Way {
        self.way_of(LinkKind::ClientFront, proxy, None)
    }

    /// Whether a proxy is cut off from the discovery service.
    pub(super) fn is_cut_off_from_discovery(&self, proxy: usize) -> bool {
        !matches!(self.way_of(LinkKind::ProxyDiscovery, proxy, None), Way::Open(_))
    }
}
