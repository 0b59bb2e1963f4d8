//! The entry daemon: accepts callers and routes their statements.

fn main() -> std::process::ExitCode {
    persimmontack::entry::run()
}
