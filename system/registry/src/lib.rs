//! `fennelscale-registry`: the registry (the field's term: service registry with membership and leases). Every core machine runs one. It
//! holds the sessions of proxies, reads the platform's list where that duty is its own, counts tenants' windows, answers
//! where clients should go, and takes the outside calls for itself and for the store beside it.

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
