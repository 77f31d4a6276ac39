//! `fennelscale quota bound` as a process.

use fennelscale_quota::{AccountQuota, Bound, Loss};
use std::path::Path;
use std::process::{Command, Output};

const CONFIG: &str = r#"{"settings":{"fleet-size":4,"my-number":0,
 "classes":[{"name":"look","effect":"idempotent","goal-time-ms":500}],"extra":{"units-top":2},
 "plans":[{"name":"free","refill":5,"burst":10},
          {"name":"paid","refill":16,"burst":25,"cap-rate":25.6,"ceiling-burst":40}]}}"#;

fn bound(place: &Path, settings: &str, more: &[&str]) -> Output {
    let (config, file) = (place.join("config.json"), place.join("settings.toml"));
    std::fs::write(&config, CONFIG).expect("a file");
    std::fs::write(&file, settings).expect("a file");
    Command::new(env!("CARGO_BIN_EXE_fennelscale"))
        .args(["quota", "bound", "--settings"])
        .arg(file)
        .arg("--config")
        .arg(config)
        .args(more)
        .output()
        .expect("it runs")
}

fn place(name: &str) -> std::path::PathBuf {
    let place = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("quota-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&place).expect("a folder");
    place
}

#[test]
fn it_prints_the_formula_for_each_plan_with_a_ceiling_and_count_of_gateways() {
    let place = place("prints");
    let settings = "[quota]\nlosses = \"partial\"\nskew = \"0ms\"\n";
    let output = bound(&place, settings, &["--gateways", "2,4"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("plan paid") && !text.contains("plan free"), "{text}");
    for gateways in [2.0, 4.0] {
        let terms = AccountQuota {
            rate: 16.0,
            burst: 25.0,
            ceiling_rate: 25.6,
            ceiling_burst: 40.0,
            max_request_units: 2.0,
            gateways,
        };
        let bound = Bound {
            quota: terms,
            loss: Loss::Partial,
            split_counters: 1.0,
            detection_time: 300.0,
            clock_skew: 0.0,
        };
        let row = text.lines().find(|l| l.trim_start().starts_with(&format!("{gateways} "))).expect("a row");
        for span in [0.0, 1000.0, 5000.0, 20_000.0, 60_000.0] {
            let figure = format!("{:.1}", bound.max_units(span));
            assert!(row.split_whitespace().any(|word| word == figure), "{figure} in {row}");
        }
    }
    std::fs::remove_dir_all(place).expect("gone");
}

#[test]
fn what_passes_a_ceiling_by_more_than_is_tolerated_ends_it_with_1_and_unusable_files_with_2() {
    let place = place("fails");
    let split = bound(&place, "[quota]\ncounters = 2\n", &[]);
    assert_eq!(split.status.code(), Some(1), "{split:?}");
    for (settings, says) in [
        ("[quota]\ncounters = 0\n", "settings.toml:2: quota.counters: must be 1 to 16"),
        ("[quota]\n\nskew = 5\n", "settings.toml:3: quota.skew: "),
        ("[quota]\nlosses = \"some\"\n", "settings.toml:2: quota.losses: "),
        ("[quota]\ncounter = 2\n", "settings.toml:2: "),
    ] {
        let output = bound(&place, settings, &[]);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(says), "{text}");
    }
    let none = bound(&place, "", &["--gateways", "0"]);
    assert_eq!(none.status.code(), Some(2), "{none:?}");
    std::fs::remove_dir_all(place).expect("gone");
}
