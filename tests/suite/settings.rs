//! Validation of the daemon's settings.

use googletest::prelude::*;

use crate::processes::lentilway;

#[gtest]
fn check_faults_all_printed() {
    let mut command = lentilway();
    command.args(["check", "--caller-listen", "localhost:1", "--log-url", "ftp://x"]);
    command.args(["--availability-zone", "az1", "--retry-allowance", "1000"]);
    let output = command.output().expect("the process ends");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(output.status.code(), some(eq(6)));
    assert_that!(
        text,
        eq("error 6001: --caller-listen is \"localhost:1\"; allowed: an IP number and a port, \
            such as 10.0.0.7:7400\n\
            error 6001: --log-url is \"ftp://x\"; allowed: http:// with an IP number and a port\n\
            error 6001: --retry-allowance is \"1000\"; allowed: a whole number from 0 to 100\n")
    );
}

#[gtest]
fn check_secret_not_shown() {
    let mut command = lentilway();
    command.args(["check", "--log-url", "http://127.0.0.1:1", "--availability-zone", "az1"]);
    command.env("LENTILWAY_PEER_SECRETS", "short-secret");
    let output = command.output().expect("the process ends");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(output.status.code(), some(eq(6)));
    assert_that!(text, contains_substring("--peer-secret-file"));
    assert_that!(text, not(contains_substring("short-secret")));
}

#[gtest]
fn manual_and_completions_hide_secrets() {
    for args in [&["man"][..], &["completions", "bash"], &["completions", "zsh"], &["--help"]] {
        let output = lentilway().args(args).output().expect("the process ends");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        expect_that!(output.status.code(), some(eq(0)), "{args:?}");
        expect_that!(text, contains_substring("lentilway"), "{args:?}");
        expect_that!(text, not(contains_substring(crate::processes::PEER_SECRET)), "{args:?}");
    }
}
