//! The reuse policy under the operators' settings.

use fennelscale_settings::operators::Operators;
use fennelscale_wire::reuse::ReusePolicy;
use std::time::Duration;

fn rules(text: &str) -> ReusePolicy {
    let operators = Operators::parse("s.toml", text).expect("settings");
    ReusePolicy::new(&operators.upstream.unwrap_or_default())
}

const MS: Duration = Duration::from_millis(1);

#[test]
fn by_default_connections_are_reused_after_a_short_idle_time_and_responses_name_no_request() {
    let rules = rules("");
    assert!(!rules.needs_new_connection(false, "/order/x"));
    assert!(rules.is_idle_long_enough(5 * MS) && !rules.is_idle_long_enough(4 * MS));
    assert!(rules.may_reuse(None) && rules.may_reuse(Some(Duration::ZERO)));
    assert!(!rules.measures_response_time() && !rules.is_too_fast(Duration::ZERO));
    assert!(rules.identity_header().is_none() && !rules.is_for_other_request(None, b"id-1"));
}

#[test]
fn configured_classes_and_unsafe_requests_need_new_connections() {
    let named = rules("[upstream.own-connection]\nclasses = [\"order\"]");
    for (path, own) in [("/order/7", true), ("/order", true), ("/orders/7", false), ("/", false), ("", false)]
    {
        assert_eq!(named.needs_new_connection(true, path), own, "{path}");
    }
    let unsafe_ones = rules("[upstream.own-connection]\nunsafe = true");
    assert!(
        unsafe_ones.needs_new_connection(false, "/look") && !unsafe_ones.needs_new_connection(true, "/order")
    );
}

#[test]
fn after_a_fault_no_connection_is_reused_until_the_time_is_over() {
    let rules = rules("[upstream]\nafter-fault = \"10s\"");
    assert!(rules.may_reuse(None) && rules.may_reuse(Some(10_000 * MS)));
    assert!(!rules.may_reuse(Some(9_999 * MS)));
}

#[test]
fn a_response_that_names_another_request_or_lacks_a_required_name_is_rejected() {
    let optional = rules("[upstream]\nidentity = { header = \"Req-Id\" }");
    assert_eq!(optional.identity_header(), Some("req-id"));
    assert!(
        optional.is_for_other_request(Some(b"id-2"), b"id-1")
            && optional.is_for_other_request(Some(b""), b"id-1")
    );
    assert!(
        !optional.is_for_other_request(Some(b"id-1"), b"id-1")
            && !optional.is_for_other_request(None, b"id-1")
    );
    let required = rules("[upstream]\nidentity = { header = \"Req-Id\", required = true }");
    assert!(required.is_for_other_request(None, b"id-1"));
}

#[test]
fn an_early_response_belongs_to_a_request_only_if_it_names_it() {
    let unnamed = rules("");
    assert!(!unnamed.names_request(Some(b"id-1"), b"id-1") && !unnamed.names_request(None, b"id-1"));
    for required in [false, true] {
        let text = format!("[upstream]\nidentity = {{ header = \"Req-Id\", required = {required} }}");
        let named = rules(&text);
        assert!(named.names_request(Some(b"id-1"), b"id-1"));
        assert!(!named.names_request(Some(b"id-2"), b"id-1") && !named.names_request(None, b"id-1"));
    }
}

#[test]
fn a_response_faster_than_any_backend_responds_is_detected() {
    let rules = rules("[upstream]\nfastest-answer = \"2ms\"");
    assert!(rules.measures_response_time() && rules.is_too_fast(MS) && !rules.is_too_fast(2 * MS));
}

#[test]
fn invalid_settings_are_rejected_with_their_line() {
    for (text, line, key) in [
        ("[upstream]\nrest = \"20s\"", 2, "upstream.rest"),
        ("[upstream]\nafter-fault = \"2s\"\nfastest-answer = \"2s\"", 3, "upstream.fastest-answer"),
        ("[upstream]\nidentity = { header = \"Req Id\" }", 2, "upstream.identity.header"),
        ("[upstream]\nidentity = { header = \"Connection\" }", 2, "upstream.identity.header"),
        ("[upstream.own-connection]\nclasses = [\"a/b\"]", 2, "upstream.own-connection.classes"),
    ] {
        let error = Operators::parse("s.toml", text).expect_err(text);
        assert_eq!((error.line, error.key.as_str()), (line, key), "{error}");
    }
}
