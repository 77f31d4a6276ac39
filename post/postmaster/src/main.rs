//! `postmaster`: see the library of this package.

fn main() -> std::process::ExitCode {
    post_postmaster::main()
}
