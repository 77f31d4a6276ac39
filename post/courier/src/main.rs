//! `courier`: see the library of this package.

fn main() -> std::process::ExitCode {
    post_courier::main()
}
