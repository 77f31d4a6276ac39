//! The scenarios that the program brings along.

/// The one that is played when none is named.
pub const DEFAULT: &str = "batch-day";

/// Names and texts, the default first.
pub const SHIPPED: [(&str, &str); 12] = [
    ("batch-day", include_str!("../scenarios/batch-day.toml")),
    ("calm", include_str!("../scenarios/calm.toml")),
    ("gateways-die", include_str!("../scenarios/gateways-die.toml")),
    ("cold-return", include_str!("../scenarios/cold-return.toml")),
    ("rolling", include_str!("../scenarios/rolling.toml")),
    ("counter-lost", include_str!("../scenarios/counter-lost.toml")),
    ("flood", include_str!("../scenarios/flood.toml")),
    ("connection-flood", include_str!("../scenarios/connection-flood.toml")),
    ("bad-network", include_str!("../scenarios/bad-network.toml")),
    ("blind", include_str!("../scenarios/blind.toml")),
    ("moved", include_str!("../scenarios/moved.toml")),
    ("drill", include_str!("../scenarios/drill.toml")),
];

/// The text of a shipped scenario.
pub fn shipped(name: &str) -> Option<&'static str> {
    SHIPPED.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}
