//! `fennelscale-registry`: the service registry, with membership and leases. It runs on every core machine,
//! holds the sessions of proxies, reads the platform's backend list if it holds that duty, counts the quota
//! windows of tenants, answers which proxies clients should use, and accepts API calls for itself and for the
//! store on the same machine.

#![warn(clippy::arithmetic_side_effects)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::panic))]

mod api;
mod backend_list;
mod events;
mod registry;
mod requests;

fennelscale_host::program!(
    "fennelscale-registry",
    " The registry. FENNELSCALE_CONFIG names the settings file.",
    registry::run
);
