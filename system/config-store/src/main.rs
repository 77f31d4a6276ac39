//! `fennelscale-config-store`: see the library of this package.

fn main() -> std::process::ExitCode {
    fennelscale_config_store::main()
}
