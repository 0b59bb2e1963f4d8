//! The entry daemon: accepts clients and routes their statements to the pools.

fn main() -> std::process::ExitCode {
    persimmontack::entry::run()
}
