//! How connections are admitted, as operators say it: caps, the reserve of known clients, what is refused and how,
//! slow clients, proxies. Each default stands here once, with its reason; package `admission` acts by it.

use crate::file::Fault;
use crate::units::{Quantity, Rate, Share, Time};
use ipnet::IpNet;
use serde::Deserialize;

type Ms = Quantity<Time>;
type Percent = Quantity<Share>;
type PerSecond = Quantity<Rate>;

/// Bounds on the file itself: lists are searched in order for each connection.
const MOST_NETWORKS: usize = 256;
/// No table of addresses may hold more: a million take some 100 MB.
const MOST_ADDRESSES: usize = 1_000_000;
/// A connection held or refused costs a descriptor: no budget has room for more of these.
const MOST_HELD: usize = 4096;
const LONGEST: f64 = 600_000.0;

/// All that is said of connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Admission {
    /// Addresses that share this many first bits are one client. A household or a server has one IPv4 address ...
    pub ipv4_prefix: u8,
    /// ... and a whole /64 of IPv6, in which it can take any address it likes.
    pub ipv6_prefix: u8,
    /// Clients that share this many first bits are one site, with caps of its own: guards against one who rotates
    /// through the prefixes that a provider gave it, up to a /48.
    pub ipv6_site: u8,
    /// The same for IPv4; 32 is no site. A /24 may hold many households, so there is none by default.
    pub ipv4_site: u8,
    /// Clients that are remembered with no connection open.
    pub addresses: usize,
    /// What `Retry-After` tells whom no rate says when to return.
    pub retry_after: Ms,
    /// The caps of a client of no tier.
    pub caps: Caps,
    /// Caps by network; the longest prefix that matches holds.
    pub tier: Vec<Tier>,
    /// Proxies that are believed when they say whose connection or request it is.
    pub proxy: Vec<Proxy>,
    /// What others get who say so of themselves.
    pub forged: Forged,
    /// Who is known, and what is kept for them.
    pub known: Known,
    /// New connections a second of all clients that are not known.
    pub strangers: PerSecond,
    /// How many of them at once.
    pub strangers_burst: f64,
    /// Strangers that were refused and come back when they were told to.
    pub returning: Returning,
    /// Connections that wait for room.
    pub hold: Hold,
    /// How refusals are told.
    pub refusals: Refusals,
    /// When idle connections make room.
    pub crowd: Crowd,
    /// Bounds on slow clients.
    pub pace: Pace,
}

/// Strangers that come back when they were told to: a new client's way in beside a flood, which comes from ever new addresses and
/// does not return.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Returning {
    /// So many of them a second come in beside the rate of strangers; 0 is off.
    pub rate: PerSecond,
    /// Refusals remembered, at 8 bytes each: those of some seconds of the fastest flood that one core bears.
    pub remember: usize,
    /// Who comes later than this after the time that was told is new again.
    pub forget: Ms,
}

impl Default for Returning {
    fn default() -> Self {
        Self { rate: PerSecond::of(100.0), remember: 65_536, forget: Ms::of(10_000.0) }
    }
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            ipv4_prefix: 32,
            ipv6_prefix: 64,
            ipv6_site: 48,
            ipv4_site: 32,
            addresses: 16_384,
            retry_after: Ms::of(1000.0),
            caps: Caps::default(),
            tier: Vec::new(),
            proxy: Vec::new(),
            forged: Forged::End,
            known: Known::default(),
            strangers: PerSecond::of(400.0),
            strangers_burst: 400.0,
            returning: Returning::default(),
            hold: Hold::default(),
            refusals: Refusals::default(),
            crowd: Crowd::default(),
            pace: Pace::default(),
        }
    }
}

/// What one client may have.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Caps {
    /// Connections open at once: a browser opens 6, an editing tool with its helpers some more.
    pub open: u32,
    /// New connections a second, in the mean ...
    pub rate: PerSecond,
    /// ... and at once. One who reconnects for each request still gets 20 a second through.
    pub burst: f64,
    /// A site may have this many times what a client may.
    pub site_times: u32,
}

impl Default for Caps {
    fn default() -> Self {
        Self { open: 32, rate: PerSecond::of(20.0), burst: 64.0, site_times: 4 }
    }
}

/// Caps for clients of some networks.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tier {
    /// Its name, for those who read the file.
    pub name: String,
    /// Where they are.
    pub networks: Vec<IpNet>,
    /// Their caps.
    #[serde(default)]
    pub caps: Caps,
}

/// How a proxy says whose connection or request it is.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Header {
    /// The PROXY protocol, version 1 or 2, before anything else on each connection.
    ProxyProtocol,
    /// `Forwarded` (RFC 7239) in each request.
    Forwarded,
    /// `X-Forwarded-For` in each request.
    XForwardedFor,
}

/// Proxies that are believed.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Proxy {
    /// Where they are.
    pub networks: Vec<IpNet>,
    /// How they say it.
    pub header: Header,
    /// Connections that one of them may have open.
    pub open: u32,
}

/// What becomes of a connection whose client forges a proxy's header.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Forged {
    /// It ends, after a 400 if it was a request.
    End,
    /// The header is not looked at.
    Ignore,
}

/// Who is known: whose requests were served lately.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Known {
    /// The share of the clients' descriptors that only known clients may take.
    pub reserve: Percent,
    /// The share that they may not take: the way in for new ones is never shut.
    pub newcomers: Percent,
    /// A request counts if it is worth at least this share of what the worthiest class is worth.
    pub counts_from: Percent,
    /// So many served requests of the worthiest class make a client known ...
    pub after: f64,
    /// ... and what they count halves in this time.
    pub half_life: Ms,
    /// Clients that are remembered as known, and as many that are on the way there.
    pub clients: usize,
    /// Of connections that wait for room, known clients get this share of what becomes free.
    pub turns: Percent,
}

impl Default for Known {
    fn default() -> Self {
        Self {
            reserve: Percent::of(0.4),
            newcomers: Percent::of(0.2),
            counts_from: Percent::of(0.5),
            after: 3.0,
            half_life: Ms::of(600_000.0),
            clients: 4096,
            turns: Percent::of(0.75),
        }
    }
}

/// Connections that wait for room.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Hold {
    /// How many; 0 leaves them in the machine's own line, where nobody tells them anything.
    pub most: usize,
    /// For how long: what is asked to leave has gone by then, and a client has most of its time left.
    #[serde(rename = "for")]
    pub lasts: Ms,
}

impl Default for Hold {
    fn default() -> Self {
        Self { most: 24, lasts: Ms::of(250.0) }
    }
}

/// How refusals are told.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Refusals {
    /// Refusals a second that get an answer; those beyond get a reset.
    pub answered: PerSecond,
    /// Connections that are kept until the answer was read, at most.
    pub lingering: usize,
    /// For how long.
    pub linger: Ms,
}

impl Default for Refusals {
    fn default() -> Self {
        Self { answered: PerSecond::of(200.0), lingering: 8, linger: Ms::of(100.0) }
    }
}

/// When idle connections make room.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Crowd {
    /// From this part of the room on, one idle connection is asked to leave for each that comes. Guards usual clients
    /// against a crowd that asks once and stays. It could hurt usual clients that are many and ask seldom: they
    /// connect anew.
    pub from: Percent,
    /// Who came less than this ago may be about to ask.
    pub newcomer: Ms,
}

impl Default for Crowd {
    fn default() -> Self {
        Self { from: Percent::of(0.5), newcomer: Ms::of(100.0) }
    }
}

/// Bounds on slow clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Pace {
    /// A connection on which no request is taken is closed after this: from its start, its last answer or the first
    /// byte of its next request. More bytes don't renew it.
    pub request: Ms,
    /// From its first byte a head must be whole after this.
    pub head: Ms,
    /// Bytes a second that a body must bring, once `grace` is over.
    pub body: PerSecond,
    /// Bytes a second that the reader of an answer must take, once `grace` is over.
    pub answer: PerSecond,
    /// How long rates are not looked at.
    pub grace: Ms,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            request: Ms::of(2500.0),
            head: Ms::of(1500.0),
            body: PerSecond::of(16_384.0),
            answer: PerSecond::of(16_384.0),
            grace: Ms::of(500.0),
        }
    }
}

impl Admission {
    /// What holds without an operators' file: no caps, no reserve, all clients are one, who finds no room waits in the
    /// machine's line, and the only bound on slow clients is the time for a whole request.
    #[must_use]
    pub fn neutral() -> Self {
        let none = Caps {
            open: u32::MAX,
            rate: PerSecond::of(f64::INFINITY),
            burst: f64::INFINITY,
            site_times: u32::MAX,
        };
        Self {
            ipv4_prefix: 0,
            ipv6_prefix: 0,
            ipv6_site: 0,
            ipv4_site: 0,
            addresses: 1,
            caps: none,
            forged: Forged::Ignore,
            known: Known {
                reserve: Percent::of(0.0),
                newcomers: Percent::of(0.0),
                after: f64::INFINITY,
                clients: 1,
                ..Known::default()
            },
            strangers: PerSecond::of(f64::INFINITY),
            strangers_burst: f64::INFINITY,
            returning: Returning { rate: PerSecond::of(0.0), ..Returning::default() },
            hold: Hold { most: 0, ..Hold::default() },
            refusals: Refusals { lingering: 0, ..Refusals::default() },
            pace: Pace {
                head: Pace::default().request,
                body: PerSecond::of(0.0),
                answer: PerSecond::of(0.0),
                ..Pace::default()
            },
            ..Self::default()
        }
    }

    pub(crate) fn check(&self) -> Result<(), Fault> {
        let fault = |key: &str, what: String| Err((format!("admission.{key}"), what));
        let whole = |key: &str, value: usize, least: usize, most: usize| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            fault(key, format!("is {value}; from {least} to {most} is possible"))
        };
        let time = |key: &str, value: &Ms| {
            if (1.0..=LONGEST).contains(&value.0) {
                return Ok(());
            }
            fault(key, "must be from 1ms to 10min".into())
        };
        let share = |key: &str, value: &Percent| {
            if value.0 <= 1.0 { Ok(()) } else { fault(key, "is more than 100%".into()) }
        };
        for (key, value, most) in [
            ("ipv4-prefix", self.ipv4_prefix, 32),
            ("ipv4-site", self.ipv4_site, 32),
            ("ipv6-prefix", self.ipv6_prefix, 128),
            ("ipv6-site", self.ipv6_site, 128),
        ] {
            whole(key, usize::from(value), 1, most)?;
        }
        if self.ipv6_site > self.ipv6_prefix {
            return fault(
                "ipv6-site",
                "is longer than ipv6-prefix: a site holds clients, not the reverse".into(),
            );
        }
        if self.ipv4_site > self.ipv4_prefix {
            return fault(
                "ipv4-site",
                "is longer than ipv4-prefix: a site holds clients, not the reverse".into(),
            );
        }
        whole("addresses", self.addresses, 1, MOST_ADDRESSES)?;
        whole("known.clients", self.known.clients, 1, MOST_ADDRESSES)?;
        whole("hold.most", self.hold.most, 1, MOST_HELD)?;
        whole("refusals.lingering", self.refusals.lingering, 1, MOST_HELD)?;
        whole("returning.remember", self.returning.remember, 1, MOST_ADDRESSES)?;
        time("returning.forget", &self.returning.forget)?;
        time("retry-after", &self.retry_after)?;
        time("known.half-life", &self.known.half_life)?;
        time("hold.for", &self.hold.lasts)?;
        time("refusals.linger", &self.refusals.linger)?;
        time("crowd.newcomer", &self.crowd.newcomer)?;
        time("pace.request", &self.pace.request)?;
        time("pace.head", &self.pace.head)?;
        time("pace.grace", &self.pace.grace)?;
        share("known.counts-from", &self.known.counts_from)?;
        share("known.turns", &self.known.turns)?;
        share("crowd.from", &self.crowd.from)?;
        if self.known.reserve.0 + self.known.newcomers.0 > 1.0 {
            return fault("known.reserve", "and known.newcomers add up to more than 100%".into());
        }
        if !(self.known.after > 0.0 && self.known.after.is_finite()) {
            return fault("known.after", "must be a number above 0".into());
        }
        if self.strangers.0 <= 0.0 || !(self.strangers_burst >= 1.0 && self.strangers_burst.is_finite()) {
            return fault("strangers", "must be above 0/s, and strangers-burst 1 at least".into());
        }
        self.check_caps("caps", &self.caps)?;
        let mut networks = 0;
        for (n, tier) in self.tier.iter().enumerate() {
            self.check_caps(&format!("tier.{n}.caps"), &tier.caps)?;
            networks += tier.networks.len();
        }
        for (n, proxy) in self.proxy.iter().enumerate() {
            whole(&format!("proxy.{n}.open"), proxy.open as usize, 1, u32::MAX as usize)?;
            networks += proxy.networks.len();
        }
        whole("tier", networks, 0, MOST_NETWORKS)
    }

    fn check_caps(&self, key: &str, caps: &Caps) -> Result<(), Fault> {
        let fine = caps.open >= 1
            && caps.site_times >= 1
            && caps.rate.0 > 0.0
            && caps.burst >= 1.0
            && caps.burst.is_finite();
        if fine {
            return Ok(());
        }
        Err((
            format!("admission.{key}"),
            "open, burst and site-times must be 1 at least, rate above 0/s".into(),
        ))
    }
}
