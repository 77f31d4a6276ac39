//! Reading descriptions: what they say, and what is wrong with those that cannot be used.

use fennelscale_routes::node::{self, DEEPEST, LONGEST, MOST_NODES, Value};
use fennelscale_routes::openapi::{read, time};
use fennelscale_routes::rule::{Effect, Group, Parameter, Place};
use fennelscale_routes::table::Operation;

const ARCHIVE: &str = r##"openapi: 3.1.0
info: {title: Archive, version: "1"}
servers:
  - url: https://api.example/v2/
components:
  parameters:
    Key: {name: Idempotency-Key, in: header, required: true, schema: {type: string}}
    Again: {$ref: "#/components/parameters/Key"}
paths:
  /previews/{id}:
    get:
      operationId: preview
      tags: [preview]
      parameters: [{name: id, in: path, required: true}]
  /playlists:
    x-fennelscale-group: cell
    post:
      x-fennelscale-class: playlist-save
      x-fennelscale-key-memory: 4s
      x-fennelscale-aim: 800ms
      parameters: [{$ref: "#/components/parameters/Again"}]
  /licences:
    post:
      x-fennelscale-class: licence-order
      x-fennelscale-units: 5
    get:
      x-fennelscale-effect: unsafe
      x-fennelscale-deadline: 2m
      x-fennelscale-units: {in: query, name: pages, least: 1, most: 20}
      parameters: [{name: pages, in: query}]
"##;

fn operation(method: &str, template: &str) -> Operation {
    let all = read("archive.yaml", ARCHIVE.as_bytes()).expect("a description");
    all.into_iter().find(|o| o.method == method && o.template == template).expect("an operation")
}

#[test]
fn extensions_tell_the_figures_and_without_them_method_and_key_tell_the_effect() {
    let preview = operation("GET", "/v2/previews/{id}");
    assert_eq!((preview.rule.effect, preview.rule.class.as_deref()), (Effect::Safe, Some("preview")));
    assert_eq!(preview.id.as_deref(), Some("preview"));
    assert_eq!(preview.source.to_string(), "archive.yaml:11 /paths/~1previews~1{id}/get");
    let save = operation("POST", "/v2/playlists").rule;
    assert_eq!((save.effect, save.group, save.key_memory), (Effect::Keyed, Group::Cell, Some(4000)));
    assert_eq!((save.aim, save.class.as_deref()), (Some(800), Some("playlist-save")));
    let order = operation("POST", "/v2/licences").rule;
    assert_eq!((order.effect, order.units.least), (Effect::Unsafe, 5));
    let billed = operation("GET", "/v2/licences").rule;
    assert_eq!((billed.effect, billed.deadline), (Effect::Unsafe, Some(120_000)));
    let pages = Parameter { place: Place::Query, name: "pages".into() };
    assert_eq!(billed.units.by.get(&pages), Some(&(1, 20)));
}

#[test]
fn json_is_read_alike_with_spaces_or_tabs() {
    for indent in ["  ", "\t", ""] {
        let text = format!(
            "{{\n{indent}\"openapi\": \"3.0.3\",\n{indent}\"paths\": {{\n{indent}{indent}\"/a\": {{\"get\": {{}}}}\n\
             {indent}}}\n}}\n"
        );
        let all = read("a.json", text.as_bytes()).unwrap_or_else(|e| panic!("{indent:?}: {e}"));
        assert_eq!((all.len(), all[0].template.as_str(), all[0].source.line), (1, "/a", 4), "{indent:?}");
    }
}

#[test]
fn json_s_escapes_of_two_halves_are_one_character() {
    let text = |json: &str| {
        let node = node::parse(json.as_bytes()).map_err(|e| e.what)?;
        Ok::<_, String>(node.get("a").and_then(|n| n.text().map(str::to_owned)).unwrap_or_default())
    };
    assert_eq!(text(r#"{"a": "\ud83c\udfb5 \u00e9 \/"}"#).as_deref(), Ok("🎵 é /"));
    assert_eq!(text(r#"{"a": "\\ud83c\\udfb5"}"#).as_deref(), Ok(r"\ud83c\udfb5"), "escaped backslashes");
    assert!(
        text(r#"{"a": "\ud83c"}"#).is_err() && text(r#"{"a": "\udfb5\ud83c"}"#).is_err(),
        "half a character"
    );
}

/// A description around some paths, and why it cannot be used.
fn refused(paths: &str) -> String {
    let text = format!("openapi: 3.0.0\npaths:\n{paths}");
    read("d", text.as_bytes()).expect_err("unusable").to_string()
}

#[test]
fn what_cannot_be_used_is_told_with_file_line_and_pointer() {
    for (paths, told) in [
        (
            "  /a: {get: {x-fennelscale-effect: mostly}}",
            "d:3 /paths/~1a/get/x-fennelscale-effect: an effect is",
        ),
        (
            "  /a:\n    get: {x-fennelscale-aim: 800}",
            "d:4 /paths/~1a/get/x-fennelscale-aim: a time with its unit",
        ),
        ("  /a: {get: {x-fennelscale-aim: 0ms}}", "a time with its unit"),
        ("  /a: {get: {x-fennelscale-units: -1}}", "units are a whole number above 0"),
        ("  /a: {get: {x-fennelscale-units: {in: query, name: n, least: 1, most: 9}}}", "no parameter of it"),
        ("  /a: {get: {x-fennelscale-unit: 1}}", "no such figure"),
        ("  /a: {get: {x-fennelscale-effect: keyed}}", "nobody could drop a repeat"),
        ("  /a: {$ref: '#/paths/~1b'}\n  /b: {$ref: '#/paths/~1a'}", "is it a circle?"),
        ("  /a: {$ref: 'http://elsewhere'}", "is not followed"),
        ("  /a: {$ref: '#/nowhere'}", "leads nowhere"),
        ("  a: {get: {}}", "a path begins with a slash"),
        (
            "  /a: {get: {operationId: x}}\n  /b: {get: {operationId: x}}",
            "the operationId x stands at line 3 already",
        ),
        ("  /a: {get: {}}\n  /a: {get: {}}", "the key /a for the second time"),
        ("  {}", "an empty description is not taken"),
    ] {
        let what = refused(paths);
        assert!(what.contains(told), "{paths}\n{what}");
    }
    let what = read("d", b"swagger: '2.0'\npaths: {}").expect_err("unusable").to_string();
    assert!(what.contains("no OpenAPI description of version 3.0 or 3.1"), "{what}");
}

#[test]
fn hostile_texts_end_at_a_bound() {
    let told = |text: &[u8]| node::parse(text).expect_err("refused").what;
    assert!(told(&vec![b' '; LONGEST + 1]).contains("at most"));
    assert!(told(&[&b"a: 1\nb: "[..], &[0xff]].concat()).contains("not UTF-8"));
    assert!(told("[".repeat(DEEPEST + 1).as_bytes()).contains("nested deeper"));
    assert!(told(b"{a: 1, a: 2}").contains("second time"));
    assert!(told(b"a: 1\n---\nb: 2").contains("second document"));
    assert!(told(b"? [a]\n: b").contains("a key that is no text"));
    // Nine aliases on nine levels stand for a thousand million values.
    let mut bomb = String::from("l0: &l0 [x, x, x, x, x, x, x, x, x]\n");
    for level in 1..9 {
        let aliases = vec![format!("*l{}", level - 1); 9].join(", ");
        bomb.push_str(&format!("l{level}: &l{level} [{aliases}]\n"));
    }
    assert!(told(bomb.as_bytes()).contains(&MOST_NODES.to_string()));
    assert!(node::parse(b"a: &a [*a]").is_err(), "an alias inside of itself");
    let few = node::parse(b"a: &a [1, 2]\nb: *a").expect("aliases within the bound");
    assert_eq!(few.get("a").map(|n| &n.value), few.get("b").map(|n| &n.value));
}

#[test]
fn plain_scalars_are_what_the_core_schema_says() {
    let all = node::parse(b"[null, ~, true, 12, -3, 1.5, 'true', 1s, .inf]").expect("a list");
    let values: Vec<_> = all.list().iter().map(|n| n.value.clone()).collect();
    let text = |t: &str| Value::Text(t.into());
    let first =
        [Value::Null, Value::Null, Value::Bool(true), Value::Int(12), Value::Int(-3), Value::Float(1.5)];
    assert_eq!(values[..6], first);
    assert_eq!(values[6..], [text("true"), text("1s"), text(".inf")]);
    assert_eq!(
        [time("250ms"), time("4s"), time("2m"), time("4"), time("s"), time("")],
        [Some(250), Some(4000), Some(120_000), None, None, None]
    );
}
