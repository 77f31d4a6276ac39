//! Which addresses are one client and one site, and what operators say of them.

use crate::Client;
use crate::gcra::Rate;
use fennelscale_settings::admission::{Admission, Caps, Header};
use ipnet::IpNet;
use std::net::IpAddr;

/// The caps of a tier, ready to use.
#[derive(Clone, Debug)]
pub struct Tier {
    /// Connections open at once.
    pub open: u32,
    /// New ones.
    pub rate: Rate,
    /// The same for a site.
    pub site_open: u32,
    /// The same for a site.
    pub site_rate: Rate,
}

impl Tier {
    fn of(caps: &Caps) -> Self {
        let times = f64::from(caps.site_times);
        Self {
            open: caps.open,
            rate: Rate::new(caps.rate.0, caps.burst),
            site_open: caps.open.saturating_mul(caps.site_times),
            site_rate: Rate::new(caps.rate.0 * times, caps.burst * times),
        }
    }
}

/// A proxy that is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// How it says whose a connection or request is.
    pub header: Header,
    /// Connections that it may have open.
    pub open: u32,
}

/// What is said of networks.
pub struct Networks {
    v4: (u8, u8),
    v6: (u8, u8),
    usual: Tier,
    tiers: Vec<(IpNet, Tier)>,
    proxies: Vec<(IpNet, Proxy)>,
}

/// The network of an address with so many bits; as many as it has at most.
fn network(address: IpAddr, bits: u8) -> IpNet {
    let most = if address.is_ipv4() { 32 } else { 128 };
    IpNet::new(address, bits.min(most)).map_or(IpNet::from(address), |net| net.trunc())
}

/// The longest network that holds an address goes first.
fn longest_first<T>(mut list: Vec<(IpNet, T)>) -> Vec<(IpNet, T)> {
    list.sort_by_key(|(net, _)| std::cmp::Reverse(net.prefix_len()));
    list
}

fn find<T>(list: &[(IpNet, T)], address: IpAddr) -> Option<&T> {
    list.iter().find(|(net, _)| net.contains(&address)).map(|(_, what)| what)
}

impl Networks {
    /// As the settings say.
    pub fn new(settings: &Admission) -> Self {
        let tiers = settings.tier.iter().flat_map(|t| t.networks.iter().map(|n| (*n, Tier::of(&t.caps))));
        let proxies = settings
            .proxy
            .iter()
            .flat_map(|p| p.networks.iter().map(|n| (*n, Proxy { header: p.header, open: p.open })));
        Self {
            v4: (settings.ipv4_prefix, settings.ipv4_site),
            v6: (settings.ipv6_prefix, settings.ipv6_site),
            usual: Tier::of(&settings.caps),
            tiers: longest_first(tiers.collect()),
            proxies: longest_first(proxies.collect()),
        }
    }

    fn bits(&self, address: IpAddr) -> (u8, u8) {
        if address.is_ipv4() { self.v4 } else { self.v6 }
    }

    /// The client that an address is. IPv4 in IPv6's form is IPv4.
    pub fn client(&self, address: IpAddr) -> Client {
        let address = address.to_canonical();
        network(address, self.bits(address).0)
    }

    /// The site of a client, if it has one beside itself.
    pub fn site(&self, client: Client) -> Option<Client> {
        let address = client.addr();
        let bits = self.bits(address).1;
        (bits < client.prefix_len()).then(|| network(address, bits))
    }

    /// The tier of a client.
    pub fn tier(&self, client: Client) -> &Tier {
        find(&self.tiers, client.addr()).unwrap_or(&self.usual)
    }

    /// The proxy at an address.
    pub fn proxy(&self, address: IpAddr) -> Option<Proxy> {
        find(&self.proxies, address.to_canonical()).copied()
    }
}
