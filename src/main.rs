//! The `mulberrymill` binary.

use mimalloc::MiMalloc;

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

fn main() -> std::process::ExitCode {
    mulberrymill::cli::run(std::env::args_os())
}
