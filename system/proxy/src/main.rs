//! `fennelscale-proxy`: see the library of this package.

fn main() -> std::process::ExitCode {
    fennelscale_proxy::main()
}
