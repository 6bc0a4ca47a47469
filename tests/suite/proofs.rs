//! Checks that the tests named in `docs/PROOFS.md` exist.

use std::fs;
use std::path::Path;

use googletest::prelude::*;

const PROOFS: &str = include_str!("../../docs/PROOFS.md");
const SUITE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/suite");

/// The concatenated text of the test files in `folder` and its subfolders.
fn read_sources(folder: &Path) -> String {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let texts = entries.flatten().map(|entry| match entry.path() {
        path if path.is_dir() => read_sources(&path),
        path => fs::read_to_string(path).unwrap_or_default(),
    });
    texts.collect()
}

/// The test names of paths like `module::test` in backticks.
fn named_tests() -> Vec<&'static str> {
    let code_spans = PROOFS.split('`').skip(1).step_by(2);
    let paths = code_spans.filter_map(|text| text.split_once("::"));
    let is_name_byte = |byte: u8| byte.is_ascii_lowercase() || byte == b'_';
    let is_name = |name: &&str| !name.is_empty() && name.bytes().all(is_name_byte);
    paths.map(|(_, name)| name).filter(is_name).collect()
}

#[gtest]
fn proofs_named_tests_exist() {
    let sources = read_sources(Path::new(SUITE));
    let names = named_tests();
    expect_that!(names.len(), gt(50));
    let is_defined = |name: &&str| {
        let definitions = [format!("fn {name}("), format!("mod {name};"), format!("mod {name} {{")];
        definitions.iter().any(|definition| sources.contains(definition))
    };
    let missing: Vec<&str> = names.into_iter().filter(|name| !is_defined(name)).collect();
    expect_that!(missing, is_empty());
}
