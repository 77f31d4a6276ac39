//! Tests of the separate modules: rates, networks, proxy headers, the budget, slow clients.

mod helper;

use fennelscale_admission::budget::{Budget, DescriptorLimit, OTHER_DESCRIPTORS};
use fennelscale_admission::client_origin::{self, MAX_HEADER_LENGTH, MalformedOrigin, ProxyHeader};
use fennelscale_admission::gcra::Rate;
use fennelscale_admission::networks::Networks;
use fennelscale_admission::slow_clients::{Activity, SlowClientLimits};
use fennelscale_settings::admission::Admission;
use fennelscale_settings::operators::Operators;
use helper::{at, ip, settings};
use proptest::prelude::*;

proptest! {
    #[test]
    fn no_more_than_burst_and_rate_conform_over_any_time_span(
        gaps in prop::collection::vec(0.0..300.0_f64, 1..200), rate in 1.0..200.0_f64, burst in 1_u32..20,
    ) {
        let (flow, mut due, mut now) = (Rate::new(rate, f64::from(burst)), 0.0, 1e9);
        let mut accepted: Vec<f64> = Vec::new();
        for gap in gaps {
            now += gap;
            match flow.try_acquire(&mut due, now) {
                Ok(()) => accepted.push(now),
                // The returned wait is sufficient and necessary.
                Err(wait) => {
                    prop_assert!(wait > 0.0);
                    prop_assert!(flow.check(due, now + wait + 1e-3).is_ok());
                    prop_assert!(flow.check(due, now + wait * 0.999 - 1e-3).is_err());
                }
            }
        }
        for (n, from) in accepted.iter().enumerate() {
            for (m, to) in accepted.iter().enumerate().skip(n) {
                let most = f64::from(burst) + (to - from) / 1000.0 * rate;
                prop_assert!((m - n + 1) as f64 <= most + 1e-3);
            }
        }
    }

    #[test]
    fn header_parsers_never_panic_or_claim_more_bytes_than_given(
        bytes in prop::collection::vec(any::<u8>(), 0..400), cut in 0_usize..120, flip in 0_usize..60,
        with in any::<u8>(),
    ) {
        let mut near = V2.to_vec();
        near[flip % V2.len()] ^= with;
        near.truncate(cut);
        for text in [bytes, near, [b"PROXY TCP4 ", &V1[11..cut.clamp(11, V1.len())]].concat()] {
            if let ProxyHeader::Complete { length, .. } = client_origin::parse_proxy_header(&text) {
                prop_assert!(length <= text.len());
            }
            if let Ok(text) = std::str::from_utf8(&text) {
                let _ = client_origin::from_forwarded(&[text], &networks());
                let _ = client_origin::from_x_forwarded_for(&[text], &networks());
            }
        }
    }

    #[test]
    fn the_budget_never_exceeds_the_limit(
        limit in 60_usize..5000, queued in 0_usize..5000, lingering in 0_usize..5000, extra in 0_usize..20,
    ) {
        let budget = Budget::divide(limit, queued, lingering, extra);
        prop_assert!(budget.total() <= limit, "{budget:?}");
        prop_assert!(budget.clients >= 1 && budget.backends >= 1);
        // Clients and backends keep three quarters, however many connections are queued or linger.
        prop_assert!(budget.queued + budget.lingering <= (limit - OTHER_DESCRIPTORS - extra) / 4);
    }
}

#[test]
fn a_too_small_limit_is_reported_and_leaves_one_of_each() {
    for limit in 0..48 {
        let budget = Budget::divide(limit, 24, 8, 0);
        assert!(budget.clients >= 1 && budget.backends >= 1, "{limit}");
    }
    let limit = DescriptorLimit::new(1024, Some(100));
    assert!(limit.is_insufficient() && limit.usable == 100);
    assert!(limit.to_string().contains("allows 100, the configuration says 1024"), "{limit}");
    assert!(DescriptorLimit::new(20, None).is_insufficient());
    assert!(
        !DescriptorLimit::new(1024, None).is_insufficient()
            && !DescriptorLimit::new(256, Some(1024)).is_insufficient()
    );
}

fn networks() -> Networks {
    Networks::new(&settings(
        "[[admission.proxy]]\nnetworks = [\"10.0.0.0/8\", \"fd00::/8\"]\nheader = \"forwarded\"\nopen = 5\n\
         [[admission.tier]]\nname = \"a\"\nnetworks = [\"198.51.0.0/16\"]\ncaps = { open = 7 }\n\
         [[admission.tier]]\nname = \"b\"\nnetworks = [\"198.51.100.0/24\"]\ncaps = { open = 9 }\n",
    ))
}

#[test]
fn addresses_map_to_clients_by_prefix_and_mapped_ipv4_is_ipv4() {
    let networks = networks();
    let client = |text| networks.client(ip(text));
    assert_eq!(client("192.0.2.1"), client("::ffff:192.0.2.1"));
    assert_ne!(client("192.0.2.1"), client("192.0.2.2"));
    assert_eq!(client("2001:db8::1"), client("2001:db8::ffff:0:0:1"));
    assert_ne!(client("2001:db8::1"), client("2001:db8:0:1::1"));
    assert_eq!(networks.site(client("2001:db8:5:1::1")), networks.site(client("2001:db8:5:2::1")));
    assert_eq!(networks.site(client("192.0.2.1")), None);
    assert_eq!(networks.tier(client("198.51.100.1")).open, 9, "the longest prefix that matches");
    assert_eq!((networks.tier(client("198.51.7.1")).open, networks.tier(client("192.0.2.1")).open), (7, 32));
    assert!(networks.proxy(ip("::ffff:10.1.2.3")).is_some() && networks.proxy(ip("11.0.0.1")).is_none());
}

/// The example of the PROXY protocol's section 2.1, and a version 2 header by section 2.2 with a field after
/// the addresses.
const V1: &[u8] = b"PROXY TCP4 192.168.0.1 192.168.0.11 56324 443\r\n";
const V2: &[u8] =
    b"\r\n\r\n\0\r\nQUIT\n\x21\x11\0\x10\xc0\0\x02\x01\xc0\0\x02\x09\xdc\x04\x01\xbb\x04\0\x01\0";

#[test]
fn both_versions_of_the_proxy_protocol_are_parsed_complete_and_in_fragments() {
    for (text, client) in [(V1, "192.168.0.1"), (V2, "192.0.2.1")] {
        for cut in 0..text.len() {
            assert_eq!(client_origin::parse_proxy_header(&text[..cut]), ProxyHeader::Partial, "{cut}");
        }
        let header = ProxyHeader::Complete { length: text.len(), client: Some(ip(client)) };
        assert_eq!(client_origin::parse_proxy_header(text), header);
        assert_eq!(client_origin::parse_proxy_header(&[text, b"GET / HTTP/1.1\r\n\r\n"].concat()), header);
    }
    let six = b"PROXY TCP6 2001:db8::1 2001:db8::2 1 2\r\n";
    assert_eq!(
        client_origin::parse_proxy_header(six),
        ProxyHeader::Complete { length: six.len(), client: Some(ip("2001:db8::1")) }
    );
    let unknown = b"PROXY UNKNOWN ffff::1 what ever\r\n";
    assert_eq!(
        client_origin::parse_proxy_header(unknown),
        ProxyHeader::Complete { length: unknown.len(), client: None }
    );
    // LOCAL: the proxy's own health check.
    let mut local = V2.to_vec();
    local[12] = 0x20;
    assert_eq!(
        client_origin::parse_proxy_header(&local),
        ProxyHeader::Complete { length: local.len(), client: None }
    );
}

#[test]
fn missing_and_malformed_headers_are_invalid() {
    let mut version = V2.to_vec();
    version[12] = 0x31;
    let long = [b"PROXY TCP4 ".as_slice(), &[b'1'; 200]].concat();
    // Declares a length above the accepted maximum.
    let endless = [&V2[..14], &[0xff, 0xff], &[0; MAX_HEADER_LENGTH]].concat();
    for text in [
        b"GET / HTTP/1.1\r\n\r\n".as_slice(),
        b"PROXY TCP4 192.168.0.1 192.168.0.11 56324\r\n",
        b"PROXY TCP4 192.168.0.256 192.168.0.11 56324 443\r\n",
        b"PROXY TCP4 192.168.0.1 192.168.0.11 56324 65536\r\n",
        b"proxy TCP4 192.168.0.1 192.168.0.11 56324 443\r\n",
        &version,
        &long,
        &endless,
    ] {
        assert_eq!(
            client_origin::parse_proxy_header(text),
            ProxyHeader::Invalid,
            "{:?}",
            String::from_utf8_lossy(text)
        );
    }
}

#[test]
fn the_last_forwarding_step_that_is_no_proxy_is_the_client() {
    let networks = networks();
    let forwarded = |values: &[&str]| client_origin::from_forwarded(values, &networks);
    assert_eq!(forwarded(&["for=192.0.2.1"]), Ok(Some(ip("192.0.2.1"))));
    assert_eq!(
        forwarded(&["for=203.0.113.9, for=192.0.2.1, for=10.1.1.1"]),
        Ok(Some(ip("192.0.2.1"))),
        "earlier steps were written by the client"
    );
    assert_eq!(
        forwarded(&["for=203.0.113.9", "for=\"[2001:db8::1]:4711\";proto=https"]),
        Ok(Some(ip("2001:db8::1")))
    );
    assert_eq!(forwarded(&[]), Ok(None));
    for bad in [
        "for=_hidden",
        "for=unknown",
        "for=192.0.2.1, for=_x",
        "what is this",
        "for=\"[2001:db8::1\"",
        "by=10.0.0.1",
    ] {
        assert_eq!(forwarded(&[bad]), Err(MalformedOrigin), "{bad}");
    }
    let many = vec!["for=10.0.0.1"; 40].join(", ");
    assert_eq!(forwarded(&[&many]), Err(MalformedOrigin), "more steps than any real chain");
    let x = |values: &[&str]| client_origin::from_x_forwarded_for(values, &networks);
    assert_eq!(x(&["203.0.113.9, 192.0.2.1, 10.2.3.4"]), Ok(Some(ip("192.0.2.1"))));
    assert_eq!(x(&["203.0.113.9", "192.0.2.7"]), Ok(Some(ip("192.0.2.7"))));
    assert_eq!(x(&["10.0.0.7"]), Ok(Some(ip("10.0.0.7"))), "a proxy's own request");
    assert_eq!(x(&["nobody"]), Err(MalformedOrigin));
}

#[test]
fn slow_clients_have_a_deadline_for_each_activity() {
    let pace = SlowClientLimits::new(&Admission::default().pace);
    let since = at(1000);
    assert_eq!(pace.deadline(Activity::Processing, since), None);
    assert_eq!(pace.deadline(Activity::Idle, since), Some(at(3500)));
    assert_eq!(pace.deadline(Activity::ReadingHead, since), Some(at(2500)));
    // Half a second of grace, then 16 kB per second; more bytes do not extend the request's deadline.
    assert_eq!(pace.deadline(Activity::ReadingBody { since: at(1100), bytes: 0 }, since), Some(at(1600)));
    assert_eq!(
        pace.deadline(Activity::ReadingBody { since: at(1100), bytes: 16_384 }, since),
        Some(at(2600))
    );
    assert_eq!(
        pace.deadline(Activity::ReadingBody { since: at(1100), bytes: 1 << 30 }, since),
        Some(at(3500))
    );
    assert_eq!(pace.deadline(Activity::WritingResponse { since, bytes: 8192 }, since), Some(at(2000)));
    let neutral = SlowClientLimits::new(&Admission::neutral().pace);
    for activity in [
        Activity::Idle,
        Activity::ReadingHead,
        Activity::ReadingBody { since, bytes: 0 },
        Activity::WritingResponse { since, bytes: 0 },
    ] {
        assert_eq!(neutral.deadline(activity, since), Some(at(3500)), "{activity:?}");
    }
    let patient = pace.with_idle_timeout(at(60_000));
    assert_eq!(patient.deadline(Activity::Idle, since), Some(at(61_000)));
    assert_eq!(patient.deadline(Activity::ReadingHead, since), Some(at(2500)));
}

#[test]
fn the_example_settings_equal_the_defaults() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/settings-example.toml");
    let mut example = Operators::load(path.as_ref()).expect("usable").admission.expect("a table");
    assert_eq!((example.tier.len(), example.proxy.len()), (1, 1));
    (example.tier, example.proxy) = (Vec::new(), Vec::new());
    assert_eq!(format!("{example:?}"), format!("{:?}", Admission::default()));
}

#[test]
fn invalid_settings_are_reported_with_file_line_and_key() {
    for (text, line, key) in [
        ("[admission]\nipv4-prefix = 33", 2, "admission.ipv4-prefix"),
        ("[admission]\nipv6-prefix = 64\nipv6-site = 65", 3, "admission.ipv6-site"),
        ("[admission.known]\nreserve = \"90%\"\nnewcomers = \"20%\"", 2, "admission.known.reserve"),
        ("[admission.known]\nhalf-life = 600", 2, "admission.known.half-life"),
        ("[admission.hold]\nfor = \"2\"", 2, "admission.hold.for"),
        ("[admission.hold]\nmost = 0", 2, "admission.hold.most"),
        ("[admission.caps]\nopen = 0", 1, "admission.caps"),
        ("[[admission.tier]]\nname = \"x\"\nnetworks = [\"10.0.0.0/33\"]", 3, "admission.tier.networks"),
        ("[[admission.proxy]]\nnetworks = []\nheader = \"via\"\nopen = 1", 3, "admission.proxy.header"),
        ("[admission]\nopne = 3", 2, "admission.opne"),
        ("[admission]\nstrangers-burst = nan", 1, "admission.strangers"),
    ] {
        let error = Operators::parse("f.toml", text).expect_err(text).to_string();
        assert!(error.starts_with(&format!("f.toml:{line}: {key}")), "{text}: {error}");
    }
}
