//! The data plane: doorcourse's decisions on real sockets. Everything runs on one thread; what is to be decided is
//! decided by the module behind [`engine`], the other files move bytes.
//!
//! The quota gateway in service and the proxy of the system are both built of it; neither knows the other.

pub mod back;
pub mod clock;
pub mod engine;
pub mod faults;
pub mod front;
pub mod lifecycle;
pub mod task;
