//! `depot`: see the library of this package.

fn main() -> std::process::ExitCode {
    post_depot::main()
}
