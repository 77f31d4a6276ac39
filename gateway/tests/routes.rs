//! `fennelscale routes` as its users see it: what it prints and its exit status.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/examples");

/// A file for as long as it is needed.
struct File(PathBuf);

static FILES: AtomicU32 = AtomicU32::new(0);

impl File {
    fn of(paths: &str) -> Self {
        let number = FILES.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("fennelscale-routes-{}-{number}", std::process::id()));
        std::fs::write(&path, paths).expect("a file");
        Self(path)
    }

    fn description(paths: &str) -> Self {
        Self::of(&format!("openapi: 3.0.3\npaths:\n{paths}"))
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a text")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Exit status, and all that was printed.
fn routes(arguments: &[&str]) -> (Option<i32>, String) {
    let run = Command::new(env!("CARGO_BIN_EXE_fennelscale")).arg("routes").args(arguments).output();
    let run = run.expect("the program");
    let text = [run.stdout, run.stderr].concat();
    (run.status.code(), String::from_utf8(text).expect("a text"))
}

#[test]
fn the_documented_example_is_read_and_what_gives_way_to_a_class_is_told() {
    let (archive, table) = (format!("{EXAMPLES}/archive.yaml"), format!("{EXAMPLES}/classes.yaml"));
    let (status, text) = routes(&["check", &archive]);
    assert_eq!((status, text.trim()), (Some(0), "4 operations, 0 conflicts"));
    let (status, text) = routes(&["check", &archive, "--classes", &table]);
    assert_eq!(status, Some(1), "{text}");
    assert!(text.contains("conflict: POST /v3/playlists"), "{text}");
    assert!(
        text.contains("holds: class=playlist-save effect=keyed group=cell key-memory=3000ms units=1"),
        "{text}"
    );
    assert!(text.contains("holds: class=licence-order effect=unsafe deadline=8000ms units=5"), "{text}");
    let (status, text) = routes(&["show", &archive]);
    assert_eq!((status, text.lines().count()), (Some(0), 4));
    assert!(text.contains("GET /v3/scores/{recording}/pages: class=licence-order effect=unsafe"), "{text}");
}

#[test]
fn the_stricter_effect_holds_whoever_says_it() {
    let safe = "  /a:\n    get: {x-fennelscale-class: c, x-fennelscale-effect: safe}\n";
    let billed = "  /a:\n    get: {x-fennelscale-class: c, x-fennelscale-effect: unsafe}\n";
    for (description, class, conflicts) in
        [(safe, "unsafe", true), (billed, "safe", false), (billed, "unsafe", false)]
    {
        let (file, table) = (File::description(description), File::of(&format!("c: {{effect: {class}}}\n")));
        let (status, text) = routes(&["check", file.path(), "--classes", table.path()]);
        assert_eq!(status, Some(i32::from(conflicts)), "{text}");
        let (_, text) = routes(&["show", file.path(), "--classes", table.path()]);
        assert!(text.contains("GET /a: class=c effect=unsafe"), "{text}");
    }
    let (one, other) = (File::description(safe), File::description(billed));
    for files in [[one.path(), other.path()], [other.path(), one.path()]] {
        let (status, text) = routes(&["check", files[0], files[1]]);
        assert_eq!(status, Some(1), "{text}");
        assert!(text.contains("holds: class=c effect=unsafe units=1"), "{text}");
        assert!(text.contains(&format!("{}:4 /paths/~1a/get", files[0])), "{text}");
        assert!(text.contains(&format!("{}:4 /paths/~1a/get", files[1])), "{text}");
    }
}

#[test]
fn explain_names_the_operation_the_methods_or_that_there_is_none() {
    let archive = format!("{EXAMPLES}/archive.yaml");
    let (status, text) = routes(&["explain", "get", "/v3/previews/%7ea", &archive]);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("GET /v3/previews/{recording}: class=preview effect=safe aim=300ms"), "{text}");
    assert!(text.contains("recording = ~a") && text.contains("archive.yaml:15 "), "{text}");
    let (status, text) = routes(&["explain", "PUT", "/v3/licences", &archive]);
    assert_eq!((status, text.trim()), (Some(1), "405: /v3/licences is known for POST"));
    let (status, text) = routes(&["explain", "GET", "/licences", &archive]);
    assert_eq!((status, text.trim()), (Some(1), "404: no path matches /licences"));
    let (status, text) = routes(&["explain", "GET", "/v3/%2e%2e/x", &archive]);
    assert_eq!(status, Some(2), "{text}");
    assert!(text.contains("a segment . or .."), "{text}");
}

#[test]
fn diff_marks_what_loosens_and_only_that() {
    let old = File::description("  /a:\n    post: {x-fennelscale-units: 5}\n  /b:\n    get: {}\n");
    let loose = File::description("  /a:\n    post: {x-fennelscale-units: 2}\n  /b:\n    get: {}\n");
    let tight = File::description("  /a:\n    post: {x-fennelscale-units: 9}\n  /c:\n    get: {}\n");
    let (status, text) = routes(&["diff", old.path(), loose.path()]);
    assert_eq!((status, text.matches("LOOSENS").count()), (Some(1), 1), "{text}");
    let (status, text) = routes(&["diff", old.path(), tight.path()]);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("changes: POST /a") && text.contains("gone: GET /b"), "{text}");
    assert!(text.contains("new: GET /c"), "{text}");
    let (status, text) = routes(&["diff", old.path(), old.path()]);
    assert_eq!((status, text.as_str()), (Some(0), ""));
}

#[test]
fn what_cannot_be_used_ends_with_2_and_says_where() {
    let bad = File::description("  /a:\n    get: {x-fennelscale-aim: soon}\n");
    let (status, text) = routes(&["check", bad.path()]);
    assert_eq!(status, Some(2), "{text}");
    assert!(text.contains(":4 /paths/~1a/get/x-fennelscale-aim: a time with its unit"), "{text}");
    let (status, text) = routes(&["check", "/nowhere/at/all"]);
    assert_eq!((status, text.contains("/nowhere/at/all")), (Some(2), true));
    assert_eq!(routes(&["check"]).0, Some(2));
}
