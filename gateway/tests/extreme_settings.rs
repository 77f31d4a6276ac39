//! A gateway as a process with extreme times in its configuration.

#[path = "helper/plain_gateway.rs"]
mod plain_gateway;

use plain_gateway::Gateway;
use std::process::Stdio;

/// Guards against the end of a gateway at its start: the counter's time limit was multiplied, and overflowed.
#[test]
fn a_gateway_serves_with_the_longest_time_limits() {
    for longest in ["1e14", "9223372036854775807", "1e22", "18446744073709551615000", "1e300"] {
        let mut gateway = Gateway::start(Stdio::null(), longest);
        gateway.wait_until_up(&format!("with {longest}"));
    }
}
