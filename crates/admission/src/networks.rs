//! Which addresses form a client and a site, and the operators' settings for them.

use crate::Client;
use crate::gcra::Rate;
use fennelscale_settings::admission::{Admission, Caps, Header};
use ipnet::IpNet;
use std::net::IpAddr;

/// The caps of a tier.
#[derive(Clone, Debug)]
pub struct Tier {
    /// Maximum number of open connections.
    pub open: u32,
    /// Rate of new connections.
    pub rate: Rate,
    /// Maximum number of a site's open connections.
    pub site_open: u32,
    /// Rate of a site's new connections.
    pub site_rate: Rate,
}

impl Tier {
    fn new(caps: &Caps) -> Self {
        let site_multiple = f64::from(caps.site_times);
        Self {
            open: caps.open,
            rate: Rate::new(caps.rate.0, caps.burst),
            site_open: caps.open.saturating_mul(caps.site_times),
            site_rate: Rate::new(caps.rate.0 * site_multiple, caps.burst * site_multiple),
        }
    }
}

/// A trusted proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// The header by which it names the client of a connection or request.
    pub header: Header,
    /// Maximum number of its open connections.
    pub open: u32,
}

/// The settings for networks.
pub struct Networks {
    v4_prefixes: (u8, u8),
    v6_prefixes: (u8, u8),
    default_tier: Tier,
    tiers: Vec<(IpNet, Tier)>,
    proxies: Vec<(IpNet, Proxy)>,
}

/// The network of an address with a prefix of `bits`, at most the address's length.
fn network(address: IpAddr, bits: u8) -> IpNet {
    let max_bits = if address.is_ipv4() { 32 } else { 128 };
    IpNet::new(address, bits.min(max_bits)).map_or(IpNet::from(address), |net| net.trunc())
}

/// Sorts networks so that the longest matching prefix comes first.
fn longest_first<T>(mut list: Vec<(IpNet, T)>) -> Vec<(IpNet, T)> {
    list.sort_by_key(|(net, _)| std::cmp::Reverse(net.prefix_len()));
    list
}

fn find<T>(list: &[(IpNet, T)], address: IpAddr) -> Option<&T> {
    list.iter().find(|(net, _)| net.contains(&address)).map(|(_, value)| value)
}

impl Networks {
    /// Creates the networks from the settings.
    pub fn new(settings: &Admission) -> Self {
        let tiers = settings.tier.iter().flat_map(|t| t.networks.iter().map(|n| (*n, Tier::new(&t.caps))));
        let proxies = settings
            .proxy
            .iter()
            .flat_map(|p| p.networks.iter().map(|n| (*n, Proxy { header: p.header, open: p.open })));
        Self {
            v4_prefixes: (settings.ipv4_prefix, settings.ipv4_site),
            v6_prefixes: (settings.ipv6_prefix, settings.ipv6_site),
            default_tier: Tier::new(&settings.caps),
            tiers: longest_first(tiers.collect()),
            proxies: longest_first(proxies.collect()),
        }
    }

    fn prefix_lengths(&self, address: IpAddr) -> (u8, u8) {
        if address.is_ipv4() { self.v4_prefixes } else { self.v6_prefixes }
    }

    /// The client of an address. An IPv4-mapped IPv6 address counts as IPv4.
    pub fn client(&self, address: IpAddr) -> Client {
        let address = address.to_canonical();
        network(address, self.prefix_lengths(address).0)
    }

    /// The site of a client, if it is larger than the client's own network.
    pub fn site(&self, client: Client) -> Option<Client> {
        let address = client.addr();
        let bits = self.prefix_lengths(address).1;
        (bits < client.prefix_len()).then(|| network(address, bits))
    }

    /// The tier of a client.
    pub fn tier(&self, client: Client) -> &Tier {
        find(&self.tiers, client.addr()).unwrap_or(&self.default_tier)
    }

    /// The trusted proxy at an address.
    pub fn proxy(&self, address: IpAddr) -> Option<Proxy> {
        find(&self.proxies, address.to_canonical()).copied()
    }
}
