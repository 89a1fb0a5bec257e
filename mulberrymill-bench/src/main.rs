//! The `mulberrymill-bench` binary.

fn main() -> std::process::ExitCode {
    mulberrymill_bench::cli::run(std::env::args_os())
}
