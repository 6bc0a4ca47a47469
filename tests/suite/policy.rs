//! Decisions under load, replayed against recorded or modelled load.

mod announcements;
mod door;
mod model;
mod placement;
mod readers;
mod retries;
mod returns;
mod roots;
mod tokens;
