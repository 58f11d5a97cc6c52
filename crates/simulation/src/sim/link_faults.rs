//! Links that are no longer what they were.

use super::World;
use crate::scenario::{CutMode, LinkKind};

/// What a cut makes of something that is to pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Way {
    /// It comes so much later than usual (ms).
    Open(f64),
    /// Nothing passes until then (ms).
    Held(f64),
    /// Connections are refused.
    Refused,
    /// Connections break.
    Broken,
}

impl World {
    pub(super) fn cut(&mut self, index: usize, begins: bool) {
        self.cuts.retain(|cut| *cut != index);
        if begins {
            return self.cuts.push(index);
        }
        for (proxy, machine) in std::mem::take(&mut self.missed) {
            match self.hears_nothing(proxy) {
                true => self.missed.push((proxy, machine)),
                false => self.tell_one(proxy, machine),
            }
        }
    }

    /// The links of a kind from a proxy, to a machine of a zone where that matters.
    fn way_of(&self, link: LinkKind, proxy: usize, to: Option<usize>) -> Way {
        let of = &self.proxies[proxy];
        let place = (of.rank, self.before[of.tier].len());
        for index in &self.cuts {
            let failure = &self.figures.failures[*index];
            let cut = &failure.cut;
            let meant = cut.link == link
                && (link == LinkKind::ClientFront || failure.tier == of.tier)
                && cut.is_from(failure.part, place, of.zone)
                && to.is_none_or(|zone| cut.is_to(zone));
            if !meant {
                continue;
            }
            return match cut.mode {
                CutMode::Delay => Way::Open(cut.delay),
                CutMode::Refuse => Way::Refused,
                CutMode::Reset => Way::Broken,
                CutMode::Silent | CutMode::LoseForth | CutMode::LoseBack => {
                    Way::Held(failure.at + failure.lasts)
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

    /// Whether a proxy is cut off from the list of servers.
    pub(super) fn hears_nothing(&self, proxy: usize) -> bool {
        !matches!(self.way_of(LinkKind::ProxyDiscovery, proxy, None), Way::Open(_))
    }
}
