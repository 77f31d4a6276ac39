//! Extreme values in the configuration of a small system of real processes.

use std::process::Command;

/// Guards against the end of proxies and registries by a value that was acknowledged: a very long idle timeout, and a small
/// rate with a large burst. On the code before, this seed ends a registry or all proxies within its first values.
#[test]
fn extreme_values_end_no_process() {
    let output = Command::new(env!("CARGO_BIN_EXE_fennelscale-demo"))
        .args(["--extremes", "60", "--seed", "1"])
        .output()
        .expect("the demo starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && text.ends_with("every step held\n"), "{text}");
}
