use super::{imp::command, load::load_config, standin::engine_config};

/// Guards against conflicting argument names and defaults that do not parse.
#[test]
fn command_line_is_consistent() {
    command().debug_assert();
    let matches = command()
        .try_get_matches_from(["bench", "engine", "--ignore-fences", "--model", "a"])
        .expect("valid");
    let (_, args) = matches.subcommand().expect("a subcommand");
    insta::assert_debug_snapshot!(engine_config(args));
}

/// Guards against a change that resets the earlier mix or applies to another kind.
#[test]
fn changes_build_on_earlier_mixes() {
    let matches = command()
        .try_get_matches_from([
            "bench",
            "load",
            "--target=http://127.0.0.1:1/",
            "--weight=0s:print=0",
            "--weight=60s:review=0.6",
            "--profile=30s:verdict=urgent,50,8,1s",
        ])
        .expect("valid");
    let (_, args) = matches.subcommand().expect("a subcommand");
    insta::assert_debug_snapshot!(load_config(args).mixes);
}

/// Guards against invalid values that are accepted, or rejected without a reason.
#[test]
fn invalid_values_are_explained() {
    let lines = [
        "--weight=0s:review=-1",
        "--weight=review=1",
        "--profile=0s:check=c,1,2",
        "--target=127.0.0.1:1",
        "--rate=fast",
    ]
    .map(|arg| {
        let error = command().try_get_matches_from(["bench", "load", arg]);
        let error = error.expect_err("invalid").to_string();
        error.lines().next().unwrap_or_default().to_owned()
    });
    insta::assert_debug_snapshot!(lines);
}
