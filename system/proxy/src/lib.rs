//! `fennelscale-proxy`: the proxy (the field's term: reverse proxy, the data plane). Every machine that clients reach runs one. It looks up
//! the route, checks the key, takes a unit of the tenant's lease, and has the decision module choose a backend.

mod beside;
mod front;
mod heads;
pub mod held;
mod mislaid;
mod proxy;
pub mod registry_choice;
mod services;
mod session;
mod speech;
mod trail;

fennelscale_host::program!(
    "fennelscale-proxy",
    " The proxy. FENNELSCALE_CONFIG names the settings file.",
    proxy::run
);
