//! Prints the machines' diagrams as they stand in `docs/life.md`.

use life::tables;

fn main() {
    for (name, table) in [
        ("Client's connection", tables::inbound()),
        ("Request", tables::request()),
        ("Attempt", tables::attempt()),
        ("Connection", tables::connection()),
    ] {
        print!("\n### {name}\n\n```mermaid\n{}```\n", tables::diagram(&table));
    }
}
