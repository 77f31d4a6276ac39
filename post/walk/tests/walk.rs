//! The whole path over loopback with real processes.

use std::process::Command;

#[test]
fn the_whole_path_holds() {
    let output = Command::new(env!("CARGO_BIN_EXE_walk")).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!(text.ends_with("every step held\n"), "{text}");
}

#[test]
fn a_program_without_settings_says_what_to_do() {
    for program in ["courier", "postmaster", "depot"] {
        let output = Command::new(env!("CARGO_BIN_EXE_walk"))
            .arg(program)
            .env_remove("FENNELSCALE_CONFIG")
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2));
        assert!(text.contains("FENNELSCALE_CONFIG") && text.lines().count() == 1, "{text}");
    }
}
