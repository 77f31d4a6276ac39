//! Descriptions from a corpus, as they are and spoilt at random: whatever the reader is given, it ends with operations or an
//! error with its place, and what it takes makes a table that can be asked.

use fennelscale_routes::openapi::read;
use fennelscale_routes::table::Table;
use proptest::prelude::*;
use std::sync::LazyLock;

static CORPUS: LazyLock<Vec<(String, Vec<u8>)>> = LazyLock::new(|| {
    let files = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus")).expect("the corpus");
    let mut all: Vec<_> = files
        .map(|file| {
            let path = file.expect("a file").path();
            let name = path.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
            (name, std::fs::read(path).expect("its text"))
        })
        .collect();
    all.sort();
    all
});

/// Reads, and has the table find each operation by its own path; how many there are.
fn try_all(text: &[u8]) -> Result<usize, String> {
    let all = read("d", text).map_err(|error| {
        assert!(error.source.line >= 1, "{error}");
        error.to_string()
    })?;
    let count = all.len();
    let (table, _) = Table::of(all.clone()).map_err(|error| error.to_string())?;
    for operation in &all {
        let path = operation.template.replace(['{', '}'], "");
        // Of a path with odd characters nothing more is asked than that it is answered.
        let _ = table.find(&operation.method, &path);
    }
    assert!(table.entries().count() <= count);
    Ok(count)
}

#[test]
fn the_corpus_is_read_as_it_stands() {
    let mut taken = Vec::new();
    for (name, text) in CORPUS.iter() {
        match try_all(text) {
            Ok(count) => taken.push((name.as_str(), count)),
            Err(what) => assert!(name == "circle.yaml" && what.contains("is it a circle?"), "{name}: {what}"),
        }
    }
    let expected = [
        ("aliases.yaml", 3),
        ("marks.json", 1),
        ("nested-templates.yaml", 6),
        ("overlaps.yaml", 3),
        ("references.json", 2),
        ("slash-at-the-end.yaml", 2),
        ("tags.yaml", 1),
    ];
    assert_eq!(taken, expected);
}

/// A change of a text: where, how many bytes go, what comes in their place.
fn changes() -> impl Strategy<Value = Vec<(usize, usize, Vec<u8>)>> {
    let telling = prop_oneof![
        Just(b"{".to_vec()),
        Just(b"\n  ".to_vec()),
        Just(b"*a".to_vec()),
        Just(b"&a ".to_vec()),
        Just(b"$ref".to_vec()),
        Just(b"x-fennelscale-".to_vec()),
        Just(b"%2F".to_vec()),
        Just(b": ".to_vec()),
        Just(vec![0xff]),
        proptest::collection::vec(any::<u8>(), 0..4),
    ];
    proptest::collection::vec((any::<usize>(), 0..6usize, telling), 1..5)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn spoilt_descriptions_are_read_or_refused(which in any::<usize>(), changes in changes()) {
        let mut text = CORPUS[which % CORPUS.len()].1.clone();
        for (at, gone, new) in changes {
            let at = at % (text.len() + 1);
            let end = (at + gone).min(text.len());
            text.splice(at..end, new);
        }
        let _ = try_all(&text);
    }
}
